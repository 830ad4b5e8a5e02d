package setup

import "cardamomspool/core/field"

var (
	commonFields = []field.Field{
		{Path: "host", Label: "Host", Help: "Unique name of this host: 1 to 63 lower-case letters, digits and hyphens, a letter first."},
		{Path: "data_centre", Label: "Data centre", Help: "Where this host runs."},
		{
			Path: "log_level", Label: "Log level", Choices: []string{"debug", "info", "warn", "error"},
			Help: "Lowest level that is logged.",
		},
		{Path: "admin_address", Label: "Admin address", Unit: "IP address and port", Help: "Serves metrics and readiness; on control hosts also the operators' API and the console."},
		{Path: "peer_address", Label: "Peer address", Unit: "IP address and port", Help: "Accepts connections from the system's other processes."},
		{Path: "controls[].host", Label: "Control host", Help: "Name of a control host. The list has 1 to 7 entries; on a control host it includes that host itself."},
		{Path: "controls[].data_centre", Label: "Its data centre", Help: "Where that control host runs."},
		{Path: "controls[].peer_address", Label: "Its peer address", Unit: "IP address and port", Help: "Where that control host accepts connections."},
		{Path: "fleet.adapter", Label: "Adapter", Choices: []string{AdapterPlatform}, Help: "Protocol adapter between this host and its deployment; empty for a host with fixed lists of the other hosts."},
		{Path: "fleet.seeds", Label: "Seeds", Unit: "IP addresses and ports", Help: "Control hosts to contact first, at this host's peer port. Replaces controls and entries."},
		{Path: "fleet.first_start", Label: "First start", Help: "Whether the whole system starts for the first time. The seeds then are the first set of voting control hosts; otherwise a host with an empty disk joins the existing one."},
		{Path: "fleet.front_address", Label: "Front address", Unit: "IP address and port", Help: "Address of the adapter. It serves operators and targets on a control host, and readiness on an entry host."},
		{Path: "fleet.retry_ratio", Label: "Retry ratio", Help: "Highest ratio of retries to calls in a retry window, over all entry hosts, from 0 to 1."},
		{Path: "fleet.link_mbps", Label: "Link rate", Help: "Bandwidth of the host's network link in Mbit/s; 0 if the bodies of callers cannot saturate it."},
		{Path: "fleet.retry_window", Label: "Retry window", Low: 0, High: int64(MaxRetryWindow), Help: "Length of the window of the retry budget: 0s, or at least 100ms."},
		{Path: "fleet.retry_slack", Label: "Retry slack", Unit: "retries per window", Low: 0, High: MaxRetrySlack, Help: "Retries allowed in a window in addition to the retry ratio."},
		{Path: "fleet.probe_interval", Label: "Probe interval", Low: 0, High: int64(MaxProbeInterval), Help: "Time between two probes of a target; 0 disables probes."},
		{Path: "fleet.key_lease", Label: "Lease of keys", Low: 0, High: int64(MaxKeyLease), Help: "How long after its withdrawal a key may still be accepted by any host: 0s for no bound, or at least 1s."},
		{Path: "fleet.quota_window", Label: "Quota window", Low: 0, High: int64(MaxQuotaWindow), Help: "Window of the quotas of client accounts: 0s for no quotas, or at least 100ms."},
		{Path: "fleet.quota_overshoot", Label: "Quota overshoot", Help: "Ratio by which an account may exceed its rate and burst in a quota window."},
		{Path: "fleet.quota_slack", Label: "Quota slack", Unit: "calls per window", Low: 0, High: MaxQuotaSlack, Help: "Calls by which an account may exceed its rate and burst in a quota window, in addition to the overshoot."},
		{Path: "fleet.warm_overshoot", Label: "Warm-up overshoot", Help: "Multiple of its warm rate that a cold target may get in any second."},
		{Path: "fleet.warm_slack", Label: "Warm-up slack", Unit: "requests per second", Help: "Requests that a cold target may get in any second in addition to the warm-up overshoot."},
		{Path: "fleet.extra_attempts", Label: "Extra attempts", Help: "Largest share of the calls of a service, from 0 to 1, that may get a second attempt while the first one runs; 0 disables them."},
		{
			Path: "stop_time", Label: "Time of a stop", Low: 0, High: int64(MaxStopTime),
			Help: "Time from the signal to stop until the process is ended by force, as its supervisor grants it: 0s if it is not known, or at least 1s. Calls and requests are then cut off a tenth of it, up to 1s, before its end.",
		},
		{
			Path: "stop_grace", Label: "Grace of a stop", Low: 0, High: int64(MaxStopTime),
			Help: "Longest duration of a graceful stop; calls and connections still open after it are cut off. Not used with stop_time.",
		},
	}

	// EntryFields describes the settings of an entry host.
	EntryFields = append([]field.Field{
		{Path: "call_address", Label: "Call address", Unit: "IP address and port", Help: "Where this host accepts calls, usually from the load balancer in front of it."},
		{Path: "announce_address", Label: "Announce address", Unit: "IP address and port", Help: "Accepts the announcements of targets."},
		{Path: "entries[].host", Label: "Entry host", Help: "Name of an entry host. The list includes all entry hosts."},
		{Path: "entries[].data_centre", Label: "Its data centre", Help: "Where that entry host runs."},
		{Path: "entries[].peer_address", Label: "Its peer address", Unit: "IP address and port", Help: "Where that entry host accepts connections."},
		{Path: "source_address", Label: "Source address", Unit: "IP address", Help: "Address from which this host connects to targets and to entry hosts that carry calls for it; chosen by the system if empty."},
		{Path: "data_folder", Label: "Data folder", Help: "Folder that keeps the newest documents across restarts; may be empty."},
		{
			Path: "drain_delay", Label: "Drain delay", Low: 0, High: int64(MaxStopTime),
			Help: "How long a stopping host still accepts calls after it reports itself as not ready, so that the load balancer in front of it can notice. Not used with balancer_check.",
		},
		{
			Path: "balancer_check.interval", Label: "Interval of the balancer's check", Low: 0, High: int64(MaxCheckInterval),
			Help: "Time between two health checks by the load balancer in front of this host; 0s if it is not known. The drain delay is then derived from it: failures intervals and a half, and at most half of the time that stop_time leaves.",
		},
		{
			Path: "balancer_check.failures", Label: "Failures of the balancer's check", Unit: "checks", Low: 0, High: MaxCheckFailures,
			Help: "Failed health checks in a row after which that load balancer sends no connections; set together with the interval.",
		},
		{
			Path: "tick", Label: "Tick", Low: int64(MinTick), High: int64(MaxTick),
			Help: "Interval at which the queued calls of a service are checked for expired waits and available targets.",
		},
		{
			Path: "announce_interval", Label: "Announce interval", Low: int64(MinAnnounceInterval), High: int64(MaxAnnounceInterval),
			Help: "Interval at which targets are asked to announce themselves; the host asks for a longer one when it owns many targets.",
		},
		{
			Path: "decision_log_one_in", Label: "Decisions logged", Unit: "decisions per line", Low: 0, High: MaxDecisionLogOneIn,
			Help: "Logs one in this many routing decisions; 0 logs none.",
		},
	}, append(callerFields, commonFields...)...)

	callerFields = []field.Field{
		{
			Path: "callers.max_connections", Label: "Connections of callers", Unit: "connections", Low: 0, High: maxConnections,
			Help: "Most open connections of callers; a further one is answered with 503 and closed. 0 means the default.",
		},
		{
			Path: "callers.max_header_bytes", Label: "Length of a header", Unit: "bytes", Low: 0, High: maxHeaderBytes,
			Help: "Longest header of a request. 0 means the default.",
		},
		{
			Path: "callers.max_body_bytes", Label: "Length of a body", Unit: "bytes", Low: 0, High: maxBodyBytes,
			Help: "Longest body of a request. 0 means the default.",
		},
		{
			Path: "callers.header_timeout", Label: "Header timeout", Low: 0, High: int64(maxHeaderTimeout),
			Help: "Longest time to receive a header. 0s means the default.",
		},
		{
			Path: "callers.idle_timeout", Label: "Idle timeout", Low: 0, High: int64(maxIdleTimeout),
			Help: "Longest time that a connection stays open without a request. 0s means the default.",
		},
		{
			Path: "callers.trusted_proxies", Label: "Trusted proxies", Unit: "IP networks",
			Help: "X-Forwarded-For and related header fields are passed on for callers in these networks and replaced for all others.",
		},
		{Path: "callers.tls.certificate_file", Label: "Certificate file", Help: "PEM file with the certificate chain; read again when it changes. Empty means no TLS."},
		{Path: "callers.tls.key_file", Label: "Key file", Help: "PEM file with the private key; set together with the certificate file."},
	}

	// ControlFields describes the settings of a control host.
	ControlFields = append([]field.Field{
		{Path: "data_folder", Label: "Data folder", Help: "Folder that keeps the committed documents; must be set and be on persistent storage."},
		{Path: "operator_token_file", Label: "Token file", Help: "File with the operator token. Without it the admin address must be a loopback address."},
		{Path: "entries[].host", Label: "Entry host", Help: "Name of an entry host to show on the console and in the API. The list may be empty; it has no other effect."},
		{Path: "entries[].data_centre", Label: "Its data centre", Help: "Where that entry host runs."},
		{Path: "entries[].admin_address", Label: "Its admin address", Unit: "IP address and port", Help: "Where that entry host serves its targets."},
	}, commonFields...)
)

// EntryReference returns the reference entry of each setting of an entry host.
func EntryReference() []field.Entry {
	s := DefaultEntry()
	s.Callers = s.Callers.WithDefaults()
	return field.Entries(EntryFields, &s)
}

// ControlReference returns the reference entry of each setting of a control host.
func ControlReference() []field.Entry {
	s := DefaultControl()
	return field.Entries(ControlFields, &s)
}
