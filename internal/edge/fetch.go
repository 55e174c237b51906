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

// fetchTimeout bounds a copy from a neighbour; it has to be in force two seconds after the store's confirmation.
const fetchTimeout = 600 * time.Millisecond

var fetchClient = &http.Client{Transport: upstream.Transport()}

// fetch takes in what another daemon knows, with its copies of the objects of some kinds, and reports whether it did.
func (d *Daemon) fetch(address string, kinds ...string) bool {
	if !d.fetching.CompareAndSwap(false, true) {
		return false
	}
	defer d.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client := carobstilev1connect.NewEdgeServiceClient(fetchClient, "http://"+address)
	resp, err := client.Fetch(ctx, connect.NewRequest(&carobstilev1.FetchRequest{Sender: d.self(), Wanted: d.wanted(kinds)}))
	if err != nil {
		d.log.Info("neighbour not asked", "address", address, "err", err)
		return false
	}
	d.takeIn(resp.Msg)
	return true
}

// wanted describes the copies that this daemon has of some kinds.
func (d *Daemon) wanted(kinds []string) []*carobstilev1.EdgeWanted {
	var out []*carobstilev1.EdgeWanted
	for _, f := range []*directory.Follower{d.config, d.entries} {
		if !slices.Contains(kinds, f.Kind()) {
			continue
		}
		w := &carobstilev1.EdgeWanted{Kind: f.Kind()}
		if image, known := f.Image(); known {
			w.Digests = image.Digests()
		}
		out = append(out, w)
	}
	return out
}

func (d *Daemon) takeIn(m *carobstilev1.FetchResponse) {
	for _, member := range m.GetMembers() {
		d.link.AddMember(member)
	}
	for _, c := range m.GetCrashes() {
		d.crashed(c, false)
	}
	for _, i := range m.GetImages() {
		part, err := decodePart(i)
		if err != nil {
			d.log.Warn("copy of a neighbour not understood", "kind", i.GetKind(), "err", err)
			continue
		}
		switch i.GetKind() {
		case KindConfig:
			d.config.Adopt(part)
		case KindServers:
			d.entries.Adopt(part)
		}
	}
}

// peerService answers other daemons.
type peerService struct{ d *Daemon }

var _ carobstilev1connect.EdgeServiceHandler = peerService{}

// Fetch implements carobstilev1connect.EdgeServiceHandler.
func (s peerService) Fetch(
	_ context.Context, req *connect.Request[carobstilev1.FetchRequest],
) (*connect.Response[carobstilev1.FetchResponse], error) {
	if sender := req.Msg.GetSender(); sender != nil {
		s.d.link.AddMember(sender)
	}
	out := &carobstilev1.FetchResponse{Members: s.d.link.Members()}
	for _, r := range s.d.crashes.Records(s.d.now()) {
		out.Crashes = append(out.Crashes, &carobstilev1.EdgeCrash{
			Fingerprint: []byte(r.Fingerprint), Server: r.Incarnation,
		})
	}
	for _, w := range req.Msg.GetWanted() {
		for _, f := range []*directory.Follower{s.d.config, s.d.entries} {
			image, known := f.Image()
			if !known || f.Kind() != w.GetKind() {
				continue
			}
			encoded, err := encodePart(image.Diff(w.GetDigests()))
			if err != nil {
				return nil, err
			}
			out.Images = append(out.Images, encoded)
		}
	}
	return connect.NewResponse(out), nil
}

func encodePart(p directory.Diff) (*carobstilev1.EdgeImage, error) {
	out := &carobstilev1.EdgeImage{Kind: p.Kind, Revision: p.Revision, Whole: p.Full, Buckets: p.Buckets}
	for _, o := range p.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			return nil, errors.Wrapf(err, "%s/%s", p.Kind, o.Name)
		}
		out.Objects = append(out.Objects, data)
	}
	return out, nil
}

func decodePart(i *carobstilev1.EdgeImage) (directory.Diff, error) {
	out := directory.Diff{
		Image: directory.Image{Kind: i.GetKind(), Revision: i.GetRevision(), Objects: map[string]platform.Object{}},
		Full:  i.GetWhole(), Buckets: i.GetBuckets(),
	}
	for _, data := range i.GetObjects() {
		var o platform.Object
		if err := json.Unmarshal(data, &o); err != nil {
			return directory.Diff{}, errors.Wrap(err, "object")
		}
		out.Objects[o.Name] = o
	}
	return out, nil
}
