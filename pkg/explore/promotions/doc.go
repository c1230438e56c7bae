// Package promotions explores the reducer of direct access, core/direct, in a model
// of the platform: several daemons, one group of members with asynchronous
// replication, a store that is away or answers late, and orders to promote that
// take effect some time after they were given.
//
// Each run is drawn from a seed and repeats exactly. Daemons are killed and
// frozen, paths are cut, members crash and come back, primaries leave, the store
// goes away or loses answers. The model checks what callers see: no commit is
// acknowledged by a replaced primary, no read lacks a commit that its
// consistency promises, fencing tokens never fall, and the group takes writes
// again once the faults have ended.
package promotions
