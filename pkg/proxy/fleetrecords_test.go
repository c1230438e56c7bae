package proxy

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/platform"
)

// oddValues are values that no daemon writes under any key.
func oddValues() []string {
	return []string{
		"", "7", `"x"`, "[]", "true", "{", "\xff\xfe", `{"a":1}{}`, strings.Repeat("9", maxRecordBytes+1), strings.Repeat(" ", maxRecordBytes+1) + "{}",
		strings.Repeat("[", 10_001), strings.Repeat(`{"a":`, 10_001), strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<20),
	}
}

// oddNumbers are numbers that none of a daemon's records has.
var oddNumbers = []string{"1e400", "-1", "9223372036854775807", "9223372036854775808", "18446744073709551615", "18446744073709551616", "1.5", `"1"`, "[]"}

var _ = Describe("a record that another writer has left in the store", func() {
	It("is no entry of a daemon", func() {
		good := `{"ip":"10.0.0.1","zone":"z","weight":1.5,"burden":1}`
		item := platform.Item{Key: platform.DaemonsPrefix + "edge-1", Value: []byte(good), Lease: 3}
		_, e, err := parseDaemonEntry(item)
		Expect(err).NotTo(HaveOccurred())
		Expect(e).To(Equal(daemonEntry{IP: "10.0.0.1", Zone: "z", Weight: 1.5, Burden: 1}))
		values := append(oddValues(), "null", "{}")
		for _, ip := range []string{"", "host", "0.0.0.0", "224.0.0.1", "255.255.255.255", "::1", "10.0.0.1:80", "10.0.0", "10.0.0.256", "01.2.3.4"} {
			values = append(values, fmt.Sprintf(`{"ip":%q,"zone":"z","weight":1}`, ip))
		}
		for _, n := range append(oddNumbers, "1e300", "4097") {
			if n != "1.5" {
				values = append(values, `{"ip":"10.0.0.1","zone":"z","weight":`+n+`}`)
			}
			values = append(values, `{"ip":"10.0.0.1","zone":"z","weight":1,"burden":`+n+`}`)
		}
		values = append(values, `{"ip":"10.0.0.1","zone":"a\nb","weight":1}`, `{"ip":"10.0.0.1","zone":"`+strings.Repeat("z", 300)+`","weight":1}`)
		for _, value := range values {
			_, _, err := parseDaemonEntry(platform.Item{Key: item.Key, Value: []byte(value), Lease: 3})
			Expect(err).To(HaveOccurred(), "%.100s", value)
		}
		for _, key := range []string{platform.DaemonsPrefix, "limpetspan/daemonX", "limpetspan/daemons/x", platform.DaemonsPrefix + "a\r\nb", platform.DaemonsPrefix + "\xff", platform.DaemonsPrefix + strings.Repeat("x", 300)} {
			_, _, err := parseDaemonEntry(platform.Item{Key: key, Value: []byte(good), Lease: 3})
			Expect(err).To(HaveOccurred(), "%q", key)
		}
		item.Lease = 0
		_, _, err = parseDaemonEntry(item)
		Expect(err).To(MatchError(ContainSubstring("lease")))
	})

	It("is no roster of the fleet", func() {
		r, err := parseRoster([]byte(`{"daemons":20,"fit":3,"strongest":{"z":2},"uneven":true}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Daemons).To(Equal(20))
		values := oddValues()
		for _, n := range oddNumbers {
			values = append(values, `{"daemons":`+n+`}`, `{"daemons":20,"fit":`+n+`}`)
			if n != "1.5" {
				values = append(values, `{"daemons":20,"fit":3,"strongest":{"z":`+n+`}}`)
			}
		}
		for _, value := range values {
			r, err := parseRoster([]byte(value))
			Expect(err).To(HaveOccurred(), "%.100s", value)
			Expect(r).To(Equal(direct.Roster{}))
		}
	})

	It("is no attestation of an era", func() {
		for _, value := range append(oddValues(), `{"settled":-1}`, `{"settled":18446744073709551616}`, `{"settled":1.5}`, `{"settled":2,"begun":3}`, `{"begun":18446744073709551615}`) {
			_, err := parseEraRecord([]byte(value))
			Expect(err).To(HaveOccurred(), "%.100s", value)
		}
	})

	// Guards against a promotion lock whose term no claim can exceed, and against one of a later era than the
	// store's, whose lost terms were counted below zero.
	It("is no promotion lock", func() {
		lock, err := parseLock([]byte(`{"term":4,"highest":5,"free":true,"era":1,"holder":"d","boot":7}`), 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(lock.Highest).To(BeNumerically("==", 5))
		values := append(oddValues(), "null", "{}", `{"term":1,"holder":"d","era":3}`, `{"term":1,"holder":"d","free":1}`, `{"term":1,"holder":7}`, `{"term":1,"holder":""}`, `{"term":1,"holder":"a\nb"}`)
		for _, n := range oddNumbers {
			values = append(values, `{"holder":"d","term":`+n+`,"highest":1}`, `{"holder":"d","term":1,"highest":`+n+`}`, `{"holder":"d","term":1,"highest":1,"era":`+n+`}`)
		}
		for _, value := range values {
			_, err := parseLock([]byte(value), 2)
			Expect(err).To(HaveOccurred(), "%.100s", value)
		}
	})

	It("is no slot of teams", func() {
		item := platform.Item{Key: "limpetspan/limit/7", Value: []byte(`{"daemon":"d","boot":3}`), Lease: 3}
		_, err := parseSlotEntry(item)
		Expect(err).NotTo(HaveOccurred())
		for _, value := range append(oddValues(), "null", "{}", `{"daemon":""}`, `{"daemon":7}`, `{"daemon":"d","boot":9223372036854775808}`, `{"daemon":"d","boot":1e400}`, `{"daemon":"d","era":-1}`) {
			_, err := parseSlotEntry(platform.Item{Key: item.Key, Value: []byte(value), Lease: 3})
			Expect(err).To(HaveOccurred(), "%.100s", value)
		}
		for _, key := range []string{"", "007", "+7", "-1", "2048", "65536", "99999999999999999999", "7/", "7 ", "x"} {
			_, err := parseSlotKey(platform.LimitsPrefix + key)
			Expect(err).To(HaveOccurred(), key)
		}
		slot, err := parseSlotKey("limpetspan/limit/2047")
		Expect(err).NotTo(HaveOccurred())
		Expect(slotKey(slot)).To(Equal("limpetspan/limit/2047"))
	})
})

// FuzzRecords checks that no record of another writer crashes a decoder or yields values out of range.
func FuzzRecords(f *testing.F) {
	for _, value := range []string{
		`{"ip":"10.0.0.1","zone":"z","weight":1.5,"burden":1}`, `{"daemons":20,"fit":3,"strongest":{"z":2},"uneven":true}`, `{"settled":2,"begun":1}`,
		`{"term":4,"highest":5,"free":true,"era":1,"holder":"d","boot":7}`, `{"daemon":"d","boot":3,"calm":true,"era":1,"split":true}`, "null", "[]", `{"term":1e400}`, "\xff",
	} {
		f.Add("limpetspan/daemon/x", []byte(value), uint64(1))
	}
	f.Add("limpetspan/limit/007", []byte("{}"), uint64(0))
	f.Fuzz(func(t *testing.T, key string, value []byte, era uint64) {
		item := platform.Item{Key: key, Value: value, Lease: 1}
		if id, e, err := parseDaemonEntry(item); err == nil && (id == "" || e.Weight < 0 || e.Weight > maxHostWeight || e.Weight != e.Weight) {
			t.Errorf("%q: %+v", value, e)
		}
		if r, err := parseRoster(value); err == nil && (r.Daemons < 0 || r.MinSize() < 0 || r.Eligible < 0) {
			t.Errorf("%q: %+v", value, r)
		}
		if r, err := parseEraRecord(value); err == nil && r.FirstStart > r.Settled {
			t.Errorf("%q: %+v", value, r)
		}
		if slot, err := parseSlotKey(key); err == nil && slotKey(slot) != key {
			t.Errorf("%q: slot %d", key, slot)
		}
		_, _ = parseSlotEntry(item)
		if lock, err := parseLock(value, mirror.Era(era)); err == nil {
			checkClaim(t, lock.LockRecord, mirror.Era(era))
		}
	})
}

// checkClaim checks that a claim over the record names a higher term.
func checkClaim(t *testing.T, r direct.LockRecord, era mirror.Era) {
	if era > 1<<13 {
		return // beyond every fencing token
	}
	for _, overwritten := range []bool{false, true} {
		r.Overwritten = overwritten
		next, lock := r.Claim(direct.Effect{Term: 7}, era)
		if next.Term <= r.Term || next.Highest < r.Highest || lock.Term != next.Term || next.Era != era {
			t.Errorf("%+v was claimed by %+v", r, next)
		}
	}
}
