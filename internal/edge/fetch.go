package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/gen/carobstile/v1/carobstilev1connect"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/upstream"
)

// fetchTimeout bounds a fetch from a neighbour. A configuration has to take effect within two seconds after the store
// confirmed it.
const fetchTimeout = 600 * time.Millisecond

var fetchClient = &http.Client{Transport: upstream.Transport()}

// fetch merges another daemon's members, crash records, ends of cold times and its copies of the given kinds. It reports false if the call
// failed or another fetch is running.
func (d *Daemon) fetch(address string, kinds ...string) bool {
	if !d.fetching.CompareAndSwap(false, true) {
		return false
	}
	defer d.fetching.Store(false)
	if _, err := d.requestFetch(address, &carobstilev1.FetchRequest{Wanted: d.wantedCopies(kinds)}); err != nil {
		d.log.Info("failed to fetch from neighbour", "address", address, "err", err)
		return false
	}
	return true
}

// requestFetch sends a request of this daemon and merges the answer. It returns the kinds that the called daemon was too busy to send.
func (d *Daemon) requestFetch(address string, req *carobstilev1.FetchRequest) (busy []string, err error) {
	req.Sender = d.self()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client := carobstilev1connect.NewEdgeServiceClient(fetchClient, "http://"+address)
	resp, err := client.Fetch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	d.applyFetch(resp.Msg)
	return resp.Msg.GetBusy(), nil
}

// wantedCopies requests the given kinds, with the digests of this daemon's copies, so that only the differences are
// sent.
func (d *Daemon) wantedCopies(kinds []string) []*carobstilev1.EdgeWanted {
	var out []*carobstilev1.EdgeWanted
	for _, f := range d.followers() {
		if !slices.Contains(kinds, f.Kind()) {
			continue
		}
		w := &carobstilev1.EdgeWanted{Kind: f.Kind()}
		latest, _ := d.eras.Latest()
		if image, known := f.Image(); known && (image.Era != 0 || latest == 0) { // parts of a copy of an unknown era cannot be replaced
			w.Era, w.Digests = image.Era, image.Digests()
		}
		out = append(out, w)
	}
	return out
}

// applyFetch merges a neighbour's members, crash records, ends of cold times and copies.
func (d *Daemon) applyFetch(m *carobstilev1.FetchResponse) {
	for _, member := range m.GetMembers() {
		d.link.AddMember(member)
	}
	d.crashes.recordPeer(m.GetCrashes(), nil, nil, m.GetVerdicts())
	d.scheduler.recordLeaving(m.GetLeaving())
	d.applyColds(m) // before the images, so that no new server is taken for warm
	for _, i := range m.GetImages() {
		diff := d.decodeDiff(i)
		for _, f := range d.followers() {
			if f.Kind() == i.GetKind() {
				f.Adopt(diff)
			}
		}
	}
	d.adoptHeldConfig(m.GetHeldConfig())
}

// peerService serves fetches of other daemons.
type peerService struct{ d *Daemon }

var _ carobstilev1connect.EdgeServiceHandler = peerService{}

// Fetch implements carobstilev1connect.EdgeServiceHandler.
func (s peerService) Fetch(
	_ context.Context, req *connect.Request[carobstilev1.FetchRequest],
) (*connect.Response[carobstilev1.FetchResponse], error) {
	if sender := req.Msg.GetSender(); sender != nil {
		s.d.link.AddMember(sender)
	}
	out := &carobstilev1.FetchResponse{}
	if !req.Msg.GetCopiesOnly() {
		out.Members, out.Leaving = s.d.link.Members(), s.d.scheduler.leavingProcesses()
		out.Crashes, out.Verdicts = s.d.crashes.encodeSuspects(), s.d.crashes.encodeVerdicts(maxFetchTraits)
		s.d.fillColds(out)
	}
	for _, w := range req.Msg.GetWanted() {
		for _, f := range s.d.followers() {
			image, known := f.Image()
			if !known || f.Kind() != w.GetKind() {
				continue
			}
			diff := image.Diff(w.GetEra(), w.GetDigests())
			if !s.d.copyFetcherOf(f.Kind()).admit(s.d.now(), diff, len(w.GetDigests()) > 0) {
				out.Busy = append(out.Busy, f.Kind())
				continue
			}
			encoded, err := encodeDiff(diff)
			if err != nil {
				return nil, err
			}
			out.Images = append(out.Images, encoded)
		}
	}
	if !req.Msg.GetCopiesOnly() {
		out.HeldConfig = s.d.encodeHeldConfig()
	}
	return connect.NewResponse(out), nil
}

func encodeDiff(d directory.Diff) (*carobstilev1.EdgeImage, error) {
	out := &carobstilev1.EdgeImage{Kind: d.Kind, Era: d.Era, Revision: d.Revision, Whole: d.Full, Buckets: d.Buckets}
	for _, o := range d.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			return nil, errors.Wrapf(err, "encode object %s/%s", d.Kind, o.Name)
		}
		out.Objects = append(out.Objects, data)
	}
	return out, nil
}

// decodeDiff decodes a neighbour's copy. Objects that cannot be decoded are left out.
func (d *Daemon) decodeDiff(i *carobstilev1.EdgeImage) directory.Diff {
	out := directory.Diff{
		Image: directory.Image{Kind: i.GetKind(), Era: i.GetEra(), Revision: i.GetRevision(), Objects: map[string]platform.Object{}},
		Full:  i.GetWhole(), Buckets: i.GetBuckets(),
	}
	for _, o := range d.decodeObjects(i.GetObjects()) {
		out.Objects[o.Name] = o
	}
	return out
}

// decodeObjects decodes the objects in a neighbour's message and leaves out those that cannot be decoded.
func (d *Daemon) decodeObjects(encoded [][]byte) []platform.Object {
	out := make([]platform.Object, 0, len(encoded))
	for _, data := range encoded {
		var o platform.Object
		if err := json.Unmarshal(data, &o); err != nil {
			d.log.Warn("failed to decode object of a neighbour", "bytes", len(data), "err", err)
			continue
		}
		out = append(out, o)
	}
	return out
}
