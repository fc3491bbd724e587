package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// Guards against a change that is not in force, or comes back older, after the
// store was restored from an older copy and assigns offsets again, and against keys
// that stay without an owner then (macky-brana restored).
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	backup := d.store.Backup()
	for version := 2; version <= 4; version++ {
		d.configure(config(version, "/read/"))
	}
	newer := config(5, "/read5/")
	d.configure(newer)
	d.waitUntilServed("/read5/1", 0)

	d.store.Restore(backup)
	time.Sleep(time.Second)
	for _, v := range d.vms {
		r, err := d.send(v, "GET", "/read5/1", 0)
		is.NoErr(err)
		is.Equal(r.status, http.StatusOK) // the older configuration in the store isn't used
	}
	d.configure(newer) // written again
	d.configure(config(6, "/read6/"))
	d.waitUntilServed("/read6/1", 0)
	d.waitUntilServed("/seat/1", 4711)

	// Keys move, so the leader's records are in force in the new era.
	var holder *wire.Server
	for _, s := range d.servers {
		if s.HoldsKey(4711) {
			holder = s
		}
	}
	holder.Register("draining")
	d.waitUntil("the keys of a draining server have moved", func() bool { return holder.KeysHeld() == 0 })
	d.waitUntilServed("/seat/1", 4711)
}

// Guards against an odd entry among the registrations that ends the VMs, or after
// which they no longer follow the list (other operators' reports).
func TestOddRegistrationIsSkipped(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	for i, odd := range []string{
		strings.Repeat("[", 200_000), `{"address":"127.0.0.1:99999","born":1,"info":{"service":"desk","zone":"z0","slots":1e30},"status":null}`, "\xff\x00", "{}",
	} {
		d.store.Put("keyed.servers", fmt.Sprint("odd", i), []byte(odd))
	}
	added := d.server(wire.ServerOptions{ID: "added", Service: "desk", Zone: "z0", Slots: 8})
	d.waitUntil("the server that registered after the odd entries gets requests", func() bool {
		for _, v := range d.vms {
			r, err := d.send(v, "GET", "/read/1", 0)
			is.NoErr(err)
			d.checkResponse(r)
		}
		return len(added.Runs()) > 0
	})
	for _, v := range d.vms {
		is.True(d.isReady(v))
	}
}

// waitUntilServed waits until every VM serves a path.
func (d *deployment) waitUntilServed(path string, key int) {
	d.t.Helper()
	for _, v := range d.vms {
		d.waitUntil(v.name+" serves "+path, func() bool {
			r, err := d.send(v, "GET", path, key)
			if err != nil {
				return false
			}
			d.checkResponse(r)
			return r.status == http.StatusOK
		})
	}
}
