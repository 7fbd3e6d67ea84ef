//! Commands and flags, parsed by `xflags`. A flag takes precedence over its `LARKFALL_…` variable.

use std::path::PathBuf;

xflags::xflags! {
    /// A PostgreSQL proxy with session consistency, configured by declarations.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad input (nothing was started or sent).
    cmd larkfall {
        /// Run a box: accept callers, serve the resource API, own groups.
        cmd run {
            /// The box's name in the platform's list (LARKFALL_NAME).
            optional --name name: String
            /// Failure domain (LARKFALL_DOMAIN).
            optional --domain domain: String
            /// IP address to listen on and connect from (LARKFALL_IP, 127.0.0.1).
            optional --ip ip: String
            /// Port for callers (LARKFALL_PORT, 5432).
            optional --port port: String
            /// Port for peers, resource API, metrics and dump (LARKFALL_API_PORT, 8432).
            optional --api-port port: String
            /// IP:port of the platform (LARKFALL_PLATFORM).
            optional --platform address: String
            /// IP:port of peers, separated by commas, to ask if the platform is down at startup (LARKFALL_PEER).
            optional --peer address: String
            /// SHA-256 of the token that permits declaring partners (LARKFALL_ADMIN).
            optional --admin hash: String
            /// Log format: terminal, json or none (LARKFALL_LOG, terminal).
            optional --log format: String
            /// Milliseconds between polls of the table for a new revision (LARKFALL_POLL_MS, 2000).
            optional --poll-ms ms: String
            /// Number of peers to which changes are pushed (LARKFALL_FANOUT, 3).
            optional --fanout count: String
            /// Milliseconds after which an idle open transaction is rolled back (LARKFALL_LEASE_IDLE_MS, 30000).
            optional --lease-idle-ms ms: String
            /// Milliseconds that a new connection to a member may take (LARKFALL_CONNECT_WAIT_MS, 1000).
            optional --connect-wait-ms ms: String
            /// Maximum number of concurrent callers (LARKFALL_CALLERS, 10000).
            optional --callers count: String
            /// Milliseconds that requests in flight may take at shutdown (LARKFALL_DRAIN_MS, 30000).
            optional --drain-ms ms: String
        }
        /// Run a box on the users' platform, configured by the settings file that
        /// LARKFALL_NODE_FILE names.
        cmd serve {
            /// Separate port for the metrics; not opened by default.
            optional --metrics-port port: u16
        }
        /// Run a small stand-in for an external system.
        cmd stand-in {
            /// A member of a database group, backed by SQLite.
            cmd member {
                /// IP address (LARKFALL_IP, 127.0.0.1).
                optional --ip ip: String
                /// Port for the PostgreSQL protocol (LARKFALL_SQL_PORT).
                optional --sql-port port: String
                /// Port for status, fence, promote, follow and faults (LARKFALL_CONTROL_PORT).
                optional --control-port port: String
                /// Statements that run concurrently (LARKFALL_SLOTS, 3).
                optional --slots count: String
                /// Maximum number of concurrent connections (LARKFALL_CONNECTIONS, 24).
                optional --connections count: String
                /// Milliseconds to open a connection (LARKFALL_CONNECT_MS, 10).
                optional --connect-ms ms: String
                /// Milliseconds added to each statement's execution time (LARKFALL_SERVICE_MS, 0).
                optional --service-ms ms: String
                /// Milliseconds from receiving a log entry to applying it (LARKFALL_LAG_MS, 5).
                optional --lag-ms ms: String
                /// Initial role: primary or replica (LARKFALL_ROLE, replica).
                optional --role role: String
            }
            /// The platform: a transactional table and the list of boxes.
            cmd platform {
                /// IP address (LARKFALL_IP, 127.0.0.1).
                optional --ip ip: String
                /// Port (LARKFALL_PORT).
                optional --port port: String
                /// Milliseconds by which the list of boxes lags (LARKFALL_ROSTER_LAG_MS, 0).
                optional --roster-lag-ms ms: String
            }
        }
        /// Run a whole system on loopback, kill a primary, print failover gap and read share.
        cmd demo {
            /// Print one JSON object instead of text.
            optional --json
            /// Duration of the workload in seconds (8).
            optional --seconds seconds: u64
        }
        /// Validate declarations offline; list every finding with file, line and field.
        cmd check {
            /// Files or folders of declarations.
            repeated files: PathBuf
        }
        /// Send declarations to a box.
        cmd apply {
            /// File or folder of declarations.
            required -f, --file path: PathBuf
            /// Show what would change without changing it.
            optional --dry-run
            /// Wait until the change is in force on every box.
            optional --wait
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Show one resource, or list all of a kind.
        cmd get {
            /// KIND, or KIND/PARTNER/NAME.
            required key: String
            /// IP:port of a box's API (LARKFALL_API).
            optional --api address: String
            /// Operator's token (LARKFALL_TOKEN).
            optional --token token: String
        }
        /// Print changes after a revision as they arrive.
        cmd watch {
            /// Revision after which changes are printed (0).
            optional --since revision: u64
            /// Stop after this many requests to the API; unlimited by default.
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
            /// Version that the resource must have.
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
