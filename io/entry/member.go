package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// remote is another entry host.
	remote struct {
		host   string
		client peerpb.MembershipClient
		conn   *grpc.ClientConn
	}

	membership struct {
		peerpb.UnimplementedMembershipServer
		host *Host
	}

	announceProblem struct {
		Error  string        `json:"error"`
		Faults strict.Faults `json:"faults,omitempty"`
	}
)

const (
	spreadTimeout = time.Second
	// leaseIntervals is the number of announcements that a target may miss.
	leaseIntervals = 5
)

var _ peerpb.MembershipServer = (*membership)(nil)

func (h *Host) dialPeers() error {
	for _, p := range h.cfg.Entries {
		if p.Host == h.cfg.Host {
			continue
		}
		var (
			conn *grpc.ClientConn
			err  error
		)
		if conn, err = peer.Dial(p.PeerAddress); err != nil {
			return errors.Wrapf(err, "entry: peer %s", p.Host)
		}
		h.peers = append(h.peers, &remote{host: p.Host, client: peerpb.NewMembershipClient(conn), conn: conn})
	}
	return nil
}

func (h *Host) closePeers() {
	for _, p := range h.peers {
		if err := p.conn.Close(); err != nil {
			h.log.Debug("peer connection closed badly", "peer", p.host, "error", err)
		}
	}
}

func (h *Host) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AnnouncePath, h.announce)
	return mux
}

// announce takes one announcement of a target.
func (h *Host) announce(w http.ResponseWriter, r *http.Request) {
	var (
		data []byte
		err  error
	)
	if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxAnnouncementBytes)); err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, announceProblem{Error: "the announcement is too large or was cut short"})
		return
	}
	record, faults := wire.ParseAnnouncement(data)
	if len(faults) > 0 {
		h.log.Warn("announcement refused", "remote", r.RemoteAddr, "error", faults.Error())
		writeJSON(w, http.StatusBadRequest, announceProblem{Error: "the announcement has faults", Faults: faults})
		return
	}
	record.Voucher = h.cfg.Host
	if h.merge(record) {
		h.spread(record)
	}
	writeJSON(w, http.StatusOK, wire.AnnouncementReply{
		Interval: h.cfg.AnnounceInterval, AnnounceAddress: h.cfg.AnnounceAddress,
	})
}

// merge takes a record into the table and reports whether it changed a row.
func (h *Host) merge(r member.Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	expiry := time.Now().Add(leaseIntervals * h.cfg.AnnounceInterval.Std())
	changed, err := h.targets.Merge(r, expiry)
	if err != nil {
		h.log.Warn("record refused", "service", r.Service, "target", r.Target, "error", err)
	}
	if changed {
		h.log.Info("target changed", "service", r.Service, "target", r.Target, "state", r.State.String(),
			"incarnation", r.Incarnation, "voucher", r.Voucher)
		h.retarget(r.Service)
	}
	return changed
}

// spread hands a changed record to all other entry hosts.
func (h *Host) spread(r member.Record) {
	req := &peerpb.SpreadRequest{Host: h.cfg.Host, Records: []*peerpb.Record{peer.FromRecord(r)}}
	for _, p := range h.peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
			defer cancel()
			if _, err := p.client.Spread(ctx, req); err != nil {
				h.log.Warn("record not spread", "peer", p.host, "target", r.Target, "error", err)
			}
		}()
	}
}

// Spread takes records that changed at another entry host.
func (m *membership) Spread(_ context.Context, req *peerpb.SpreadRequest) (*peerpb.SpreadReply, error) {
	for _, message := range req.GetRecords() {
		var (
			r   member.Record
			err error
		)
		if r, err = peer.ToRecord(message); err != nil {
			m.host.log.Warn("record refused", "peer", req.GetHost(), "error", err)
			continue
		}
		m.host.merge(r)
	}
	return &peerpb.SpreadReply{}, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // The target has gone; it will announce itself again.
	}
}
