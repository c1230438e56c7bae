package hostlist_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/hostlist"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

func TestHostList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostlist")
}

var _ = Describe("host list", func() {
	It("is read without its malformed entries, and its changes are delivered", func() {
		ctx, cancel := storetest.Context()
		defer cancel()
		fake := storetest.New()
		Expect(fake.Hosts.Set(standin.Host{Addr: "10.0.0.1:5432", Zone: "kushiro", State: standin.HostLive})).To(Succeed())
		fake.MustPut(hostlist.Prefix+"10.0.0.2:5432", []byte("garbage"))
		list, err := hostlist.Read(ctx, fake)
		Expect(err).To(BeAssignableToTypeOf(&hostlist.MalformedError{}))
		Expect(list.Hosts).To(Equal(map[string]hostlist.Host{
			"10.0.0.1:5432": {Addr: "10.0.0.1:5432", Zone: "kushiro", State: hostlist.StateLive}}))
		changes, err := hostlist.Watch(ctx, fake, list.Revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(fake.Hosts.Set(standin.Host{Addr: "10.0.0.1:5432", Zone: "kushiro", State: standin.HostLeaving})).To(Succeed())
		fake.Hosts.Remove("10.0.0.1:5432")
		var change hostlist.Change
		Eventually(changes, "10s").Should(Receive(&change))
		Expect(change.Host.State).To(Equal(hostlist.StateLeaving))
		Eventually(changes, "10s").Should(Receive(&change))
		Expect(change.Addr).To(Equal("10.0.0.1:5432"))
		Expect(change.Host).To(BeNil())
	})
})
