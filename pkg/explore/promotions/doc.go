// Package promotions explores the reducer of direct access, core/direct, in a model
// of the platform: several daemons, one group of members with asynchronous
// replication, a store that is unreachable or answers late, and promotion requests
// that take effect some time after they were sent.
//
// Each run is determined by its seed and repeats exactly. Daemons are killed and
// frozen, paths are cut, members crash and restart, primaries leave, the store
// becomes unreachable or loses answers. The model checks what callers see: no commit is
// acknowledged by a replaced primary, no read lacks a commit that its
// consistency guarantees, fencing tokens never decrease, and the group accepts writes
// again once the faults have ended.
package promotions
