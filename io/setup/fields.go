package setup

import "cardamomspool/core/field"

var (
	commonFields = []field.Field{
		{Path: "host", Label: "Host", Help: "Unique name of this host: 1 to 63 lower-case letters, digits and hyphens, a letter first."},
		{Path: "data_centre", Label: "Data centre", Help: "Where this host runs."},
		{
			Path: "log_level", Label: "Log level", Choices: []string{"debug", "info", "warn", "error"},
			Help: "Least level of the lines that are logged.",
		},
		{Path: "admin_address", Label: "Admin address", Unit: "IP number and port", Help: "Serves metrics and readiness; on control hosts the operators' API and the console too."},
		{Path: "peer_address", Label: "Peer address", Unit: "IP number and port", Help: "Takes connections from the system's other processes."},
		{Path: "controls[].host", Label: "Control host", Help: "Name of a control host; the list holds 1 to 7, on control hosts this host too."},
		{Path: "controls[].data_centre", Label: "Its data centre", Help: "Where that control host runs."},
		{Path: "controls[].peer_address", Label: "Its peer address", Unit: "IP number and port", Help: "Where that control host takes connections."},
		{Path: "fleet.adapter", Label: "Adapter", Choices: []string{AdapterPlatform}, Help: "What translates between this host and its deployment; empty for a host with fixed lists of others."},
		{Path: "fleet.seeds", Label: "Seeds", Unit: "IP numbers and ports", Help: "Control hosts to ask first; their peer port is this host's. Replaces controls and entries."},
		{Path: "fleet.first_start", Label: "First start", Help: "Whether the whole system starts for the first time. Seeds then found it; at any other time an empty disk joins."},
		{Path: "fleet.front_address", Label: "Front address", Unit: "IP number and port", Help: "Where the adapter serves: operators and targets at a control host, readiness at an entry host."},
		{Path: "fleet.retry_ratio", Label: "Retry ratio", Help: "Share of the calls of a window that may be sent again, over all entry hosts, from 0 to 1."},
		{Path: "fleet.link_mbps", Label: "Link rate", Help: "Rate of the host's link in Mbit/s; 0 for one that the bodies of callers do not fill."},
		{Path: "fleet.retry_window", Label: "Retry window", Low: 0, High: int64(MaxRetryWindow), Help: "Time that the retry budget holds for."},
		{Path: "fleet.retry_slack", Label: "Retry slack", Unit: "repeats per window", Low: 0, High: MaxRetrySlack, Help: "Repeats of a window that need no calls."},
		{Path: "fleet.probe_interval", Label: "Probe interval", Low: 0, High: int64(MaxProbeInterval), Help: "Time between two probes of a target; 0 sends none."},
		{
			Path: "stop_grace", Label: "Grace of a stop", Low: 0, High: int64(MaxGrace),
			Help: "Longest time of a graceful stop; what is still open then is cut off.",
		},
	}

	// EntryFields describes the settings of an entry host.
	EntryFields = append([]field.Field{
		{Path: "call_address", Label: "Call address", Unit: "IP number and port", Help: "Takes calls from the platform's balancer."},
		{Path: "announce_address", Label: "Announce address", Unit: "IP number and port", Help: "Takes the announcements of targets."},
		{Path: "entries[].host", Label: "Entry host", Help: "Name of an entry host; the list holds all of them."},
		{Path: "entries[].data_centre", Label: "Its data centre", Help: "Where that entry host runs."},
		{Path: "entries[].peer_address", Label: "Its peer address", Unit: "IP number and port", Help: "Where that entry host takes connections."},
		{Path: "data_folder", Label: "Data folder", Help: "Keeps the last documents over a restart; may be empty."},
		{
			Path: "drain_delay", Label: "Drain delay", Low: 0, High: int64(MaxGrace),
			Help: "Time that a stopping host still takes calls after its readiness is withdrawn, so that the platform's balancer can see it.",
		},
		{
			Path: "tick", Label: "Tick", Low: int64(MinTick), High: int64(MaxTick),
			Help: "Time between two runs of the systems over the tables.",
		},
		{
			Path: "announce_interval", Label: "Announce interval", Low: int64(MinInterval), High: int64(MaxInterval),
			Help: "Time that targets are told to wait between announcements.",
		},
		{
			Path: "decision_log_one_in", Label: "Decisions logged", Unit: "decisions per line", Low: 0, High: MaxLogOneIn,
			Help: "Logs one in that many routing decisions; 0 logs none.",
		},
	}, append(callerFields, commonFields...)...)

	callerFields = []field.Field{
		{
			Path: "callers.max_connections", Label: "Connections of callers", Unit: "connections", Low: 0, High: maxConnections,
			Help: "Most open connections of callers; one more is answered with 503 and closed. 0 takes the default.",
		},
		{
			Path: "callers.max_header_bytes", Label: "Length of a header", Unit: "bytes", Low: 0, High: maxHeaderBytes,
			Help: "Greatest length of the header of a request. 0 takes the default.",
		},
		{
			Path: "callers.max_body_bytes", Label: "Length of a body", Unit: "bytes", Low: 0, High: maxBodyBytes,
			Help: "Greatest length of the body of a request. 0 takes the default.",
		},
		{
			Path: "callers.header_timeout", Label: "Header timeout", Low: 0, High: int64(longestForHeaders),
			Help: "Longest time for a header to arrive. 0s takes the default.",
		},
		{
			Path: "callers.idle_timeout", Label: "Idle timeout", Low: 0, High: int64(longestIdle),
			Help: "Longest time that a connection waits for its next request. 0s takes the default.",
		},
		{
			Path: "callers.trusted_proxies", Label: "Trusted proxies", Unit: "IP networks",
			Help: "Networks whose X-Forwarded-For and related fields are passed on; those of other callers are replaced.",
		},
		{Path: "callers.tls.certificate_file", Label: "Certificate file", Help: "PEM file with the certificate chain; read again when it changes. Empty means no TLS."},
		{Path: "callers.tls.key_file", Label: "Key file", Help: "PEM file with the private key; set together with the certificate file."},
	}

	// ControlFields describes the settings of a control host.
	ControlFields = append([]field.Field{
		{Path: "data_folder", Label: "Data folder", Help: "Keeps the agreed documents; must be set, and on a disk."},
		{Path: "operator_token_file", Label: "Token file", Help: "File with the token that operators present. Without it only a loopback address may be served."},
		{Path: "entries[].host", Label: "Entry host", Help: "Name of an entry host to show on the console; the list may be empty, and nothing else depends on it."},
		{Path: "entries[].data_centre", Label: "Its data centre", Help: "Where that entry host runs."},
		{Path: "entries[].admin_address", Label: "Its admin address", Unit: "IP number and port", Help: "Where that entry host is asked for its targets."},
	}, commonFields...)
)

// EntryReference returns an entry for each setting of an entry host.
func EntryReference() []field.Entry {
	s := DefaultEntry()
	s.Callers = s.Callers.WithDefaults()
	return field.Entries(EntryFields, &s)
}

// ControlReference returns an entry for each setting of a control host.
func ControlReference() []field.Entry {
	s := DefaultControl()
	return field.Entries(ControlFields, &s)
}
