//! Commands and flags. A flag goes before its `LARKFALL_…` variable.

use std::path::PathBuf;

xflags::xflags! {
    /// A PostgreSQL proxy with session consistency, run by declarations.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad input (nothing was started or sent).
    cmd larkfall {
        /// Run a box: take callers, serve the resource API, own groups.
        cmd run {
            /// The box's name in the platform's list (LARKFALL_NAME).
            optional --name name: String
            /// Failure domain (LARKFALL_DOMAIN).
            optional --domain domain: String
            /// IP number to listen on and call from (LARKFALL_IP, 127.0.0.1).
            optional --ip ip: String
            /// Callers' port (LARKFALL_PORT, 5432).
            optional --port port: String
            /// Port of peers, resource API, metrics, dump (LARKFALL_API_PORT, 8432).
            optional --api-port port: String
            /// IP:port of the platform (LARKFALL_PLATFORM).
            optional --platform address: String
            /// IP:port of peers, with commas, to ask when the platform is down at the start (LARKFALL_PEER).
            optional --peer address: String
            /// SHA-256 of the token that may declare partners (LARKFALL_ADMIN).
            optional --admin hash: String
            /// terminal, json or none (LARKFALL_LOG, terminal).
            optional --log format: String
            /// Milliseconds between looks at the table's head (LARKFALL_POLL_MS, 2000).
            optional --poll-ms ms: String
            /// Peers that news is pushed to (LARKFALL_FANOUT, 3).
            optional --fanout count: String
            /// Milliseconds after which an idle open transaction is rolled back (LARKFALL_LEASE_IDLE_MS, 30000).
            optional --lease-idle-ms ms: String
            /// Milliseconds that a new connection to a member may take (LARKFALL_CONNECT_WAIT_MS, 1000).
            optional --connect-wait-ms ms: String
            /// Callers at once (LARKFALL_CALLERS, 10000).
            optional --callers count: String
            /// Milliseconds that requests in flight get at a stop (LARKFALL_DRAIN_MS, 30000).
            optional --drain-ms ms: String
        }
        /// Run a box on the users' platform, by the settings file that
        /// LARKFALL_NODE_FILE names.
        cmd serve {
            /// Port that shows the metrics apart from the rest; none if not given.
            optional --metrics-port port: u16
        }
        /// Run a small stand-in for an outside system.
        cmd stand-in {
            /// A member of a database group, with SQLite inside.
            cmd member {
                /// IP number (LARKFALL_IP, 127.0.0.1).
                optional --ip ip: String
                /// Port of the PostgreSQL protocol (LARKFALL_SQL_PORT).
                optional --sql-port port: String
                /// Port of status, fence, promote, follow and faults (LARKFALL_CONTROL_PORT).
                optional --control-port port: String
                /// Statements run at once (LARKFALL_SLOTS, 3).
                optional --slots count: String
                /// Connections taken at once (LARKFALL_CONNECTIONS, 24).
                optional --connections count: String
                /// Milliseconds a new connection takes (LARKFALL_CONNECT_MS, 10).
                optional --connect-ms ms: String
                /// Milliseconds a statement takes besides the engine's own (LARKFALL_SERVICE_MS, 0).
                optional --service-ms ms: String
                /// Milliseconds from receiving to applying an entry (LARKFALL_LAG_MS, 5).
                optional --lag-ms ms: String
                /// primary or replica at the start (LARKFALL_ROLE, replica).
                optional --role role: String
            }
            /// The platform: a transactional table and the list of boxes.
            cmd platform {
                /// IP number (LARKFALL_IP, 127.0.0.1).
                optional --ip ip: String
                /// Port (LARKFALL_PORT).
                optional --port port: String
                /// Milliseconds by which the list of boxes lags (LARKFALL_ROSTER_LAG_MS, 0).
                optional --roster-lag-ms ms: String
            }
        }
        /// Run everything on loopback, kill a primary, print the two measures.
        cmd demo {
            /// Print one JSON object instead of text.
            optional --json
            /// Seconds of workload (8).
            optional --seconds seconds: u64
        }
        /// Check declarations offline; list every finding with file, line, field.
        cmd check {
            /// Files or folders of declarations.
            repeated files: PathBuf
        }
        /// Send declarations to a box.
        cmd apply {
            /// File or folder of declarations.
            required -f, --file path: PathBuf
            /// Show what would change and change nothing.
            optional --dry-run
            /// Wait until the change is in force on every box.
            optional --wait
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Show one resource, or list those of a kind.
        cmd get {
            /// KIND, or KIND/PARTNER/NAME.
            required key: String
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Print changes as they come, from a revision on.
        cmd watch {
            /// First revision to leave out (0).
            optional --since revision: u64
            /// Stop after this many rounds; without it, go on.
            optional --rounds count: u64
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Delete one resource.
        cmd delete {
            /// KIND/PARTNER/NAME.
            required key: String
            /// Version the resource must have.
            optional --version version: u64
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Print a box's state as JSON.
        cmd dump {
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
        }
    }
}
