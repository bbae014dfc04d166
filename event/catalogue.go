package event

// Process.
var (
	ProcessStarting = define(1001, Info, "process-starting", "The process has read its settings.", "none")
	ProcessReady    = define(1002, Info, "process-ready", "The process accepts callers.", "none")
	ProcessStopped  = define(1003, Info, "process-stopped", "The process has left; nothing was cut off.", "none")
	ProcessFailed   = define(1004, Error, "process-failed", "The process ends because a part of it failed.", "Read `error`; the platform starts another process.")
	StartRefused    = define(1005, Error, "start-refused", "Neither the platform nor a peer answers, so nothing can be served.", "Check `[platform] address` and `[peers] seeds`, then the network.")
	ShutdownBegun   = define(1010, Info, "shutdown-begun", "The process takes no new callers.", "none")
	ShutdownHanding = define(1011, Info, "shutdown-handing-over", "The process hands its shards to peers.", "none")
	ShutdownWaiting = define(1012, Info, "shutdown-waiting", "Requests in flight are being finished.", "Wait; a second signal lists what would be cut off.")
	ShutdownForced  = define(1013, Warn, "shutdown-forced", "A second signal came; `requests` are still in flight.", "Send a third signal only if these may be cut off.")
	LoopSlow        = define(1014, Warn, "control-loop-slow", "One step of the control loop took long.", "Look for a busy host; compare `persimmonworks_control_loop_busy_seconds_total`.")
)

// Sessions.
var (
	SessionRegistered   = define(1101, Info, "session-registered", "The process has a session.", "none")
	SessionLate         = define(1102, Warn, "session-late", "A renewal of the session was late or failed.", "Check the platform; nothing is lost before `session-lost`.")
	SessionLost         = define(1103, Error, "session-lost", "The session ended; the process has stopped acting for its shards.", "Check for pauses of the host and for the platform.")
	SessionExpiredOther = define(1104, Warn, "session-expired-other", "This process ended the session of one that was silent.", "Check the host of `process`.")
	SessionRelayed      = define(1105, Warn, "session-relayed", "A peer passed the renewal on to the platform.", "Check the path from this host to the platform.")
	SessionPromised     = define(1106, Warn, "session-promised", "All witnesses promised not to expire the session; work goes on without the platform.", "Bring the platform back.")
)

// Shards.
var (
	ShardTaken    = define(1201, Info, "shard-taken", "This process owns the shard at `epoch`.", "none")
	ShardReleased = define(1202, Info, "shard-released", "The shard was handed over.", "none")
	ShardLost     = define(1203, Warn, "shard-lost", "Another process took the shard.", "Look for `session-lost` of this process.")
	ShardStale    = define(1204, Warn, "shard-stale-epoch", "A message with an older epoch was refused.", "none; fencing worked. If it goes on, look for a paused process.")
)

// Workers.
var (
	WorkerClosed      = define(1301, Warn, "worker-closed", "A worker gets no starts until its inventory is known.", "If it stays closed, check the host or declare it lost.")
	WorkerOpened      = define(1302, Info, "worker-opened", "A worker gets starts again.", "none")
	WorkerQuarantined = define(1303, Warn, "worker-quarantined", "A worker fails what succeeds elsewhere.", "Check the host; `undrain` puts it back.")
	QuarantineCapped  = define(1304, Error, "quarantine-capped", "More workers fail than may be quarantined at once.", "Suspect a bad job or a shared fault before the hosts.")
	WorkerRefused     = define(1305, Warn, "worker-refused-start", "A worker refused a start for want of capacity.", "Compare its capacity with the host list.")
	WorkerLost        = define(1306, Warn, "worker-lost", "The leases of an unreachable worker have certainly lapsed.", "Check the host.")
)

// Jobs and attempts.
var (
	JobAccepted    = define(1401, Info, "job-accepted", "A job is durable.", "none")
	JobRefused     = define(1402, Info, "job-refused", "A job was refused; nothing of it ran.", "Read `reason`.")
	JobFinished    = define(1403, Info, "job-finished", "All tasks of a job have ended.", "none")
	JobParked      = define(1404, Warn, "job-parked", "Tasks were parked after their last attempt.", "Read `reason` and ask the organisation.")
	JobCancelled   = define(1405, Info, "job-cancelled", "A caller cancelled a job.", "none")
	AttemptLost    = define(1406, Warn, "attempt-lost", "An attempt ended without a known result.", "none; an idempotent task gets another attempt.")
	AttemptUnknown = define(1407, Warn, "attempt-unknown", "A non-idempotent task may have run; it is not tried again.", "Tell the organisation; it decides.")
	JobRebuilt     = define(1408, Info, "job-shard-rebuilt", "A new owner has read the records of a job shard.", "none")
	ArchiveFailed  = define(1410, Error, "archive-failed", "Finished jobs could not be moved to the archive; they stay and it is repeated.", "Check the object store.")
	JournalFailed  = define(1409, Error, "journal-failed", "A group commit of task transitions failed; it is repeated.", "Check the platform.")
)

// Platform and peers.
var (
	PlatformAway    = define(1501, Error, "platform-away", "The platform does not answer; granted work goes on, new jobs are refused.", "Bring the platform back.")
	PlatformBack    = define(1502, Info, "platform-back", "The platform answers again.", "none")
	PlatformUnknown = define(1503, Warn, "platform-answer-lost", "The answer to a write was lost; the row is read back.", "none")
	HostListStale   = define(1504, Warn, "host-list-stale", "The list of hosts has not been read for long.", "Check the platform; probes decide meanwhile.")
	PeerLost        = define(1601, Warn, "peer-lost", "A peer does not answer.", "Check its host and the network between data centres.")
	PeerBack        = define(1602, Info, "peer-back", "A peer answers again.", "none")
	PeerRefused     = define(1603, Warn, "peer-refused", "A peer's certificate was refused.", "Check the authority and the dates of its certificate.")
)

// Configuration and intents.
var (
	ConfigApplied  = define(1701, Info, "config-applied", "Configuration `number` is in force here.", "none")
	ConfigRefused  = define(1702, Error, "config-refused", "A configuration of the chain could not be read; the one before stays in force.", "Undo it, or update this process.")
	ConfigBehind   = define(1703, Warn, "config-behind", "Peers have a higher configuration that this process cannot get.", "Check its path to platform and peers.")
	IntentProposed = define(1710, Info, "intent-proposed", "A plan was made; nothing changed.", "none")
	IntentRefused  = define(1711, Info, "intent-refused", "A plan was stale or another operator was first.", "Make the plan again.")
	IntentInForce  = define(1712, Info, "intent-in-force", "A confirmed plan is in the configuration chain.", "none")
	UpkeepDone     = define(1720, Info, "upkeep-done", "Old configurations and plans were deleted.", "none")
	UpkeepFailed   = define(1721, Warn, "upkeep-failed", "Old rows could not be deleted; it is tried again.", "Check the platform; nothing but space is lost.")
)

// Requests and upstreams.
var (
	RequestRefused  = define(1801, Debug, "request-refused", "A request was refused as not run.", "If frequent, compare the queue with its limit.")
	RequestUnknown  = define(1802, Warn, "request-unknown", "A request may have run; its outcome is unknown.", "The caller decides; look at the runner.")
	RequestStray    = define(1803, Warn, "answer-stray", "An answer came for a request that is gone.", "none")
	BadInput        = define(1804, Info, "bad-input", "A caller's input broke a limit or a rule.", "none; if frequent, tell the organisation.")
	AccessRefused   = define(1805, Warn, "access-refused", "A caller or operator had no valid identity or role.", "If frequent, look for a leaked or expired token.")
	OverloadBegun   = define(1806, Warn, "overload-begun", "Admission refuses work to keep waiting times.", "See the burn report; add capacity if it lasts.")
	OverloadEnded   = define(1807, Info, "overload-ended", "Admission accepts everything again.", "none")
	DrainNotice     = define(1901, Info, "drain-notice", "A host is leaving and gets nothing new.", "none")
	DrainDone       = define(1902, Info, "drain-done", "Nothing runs on the leaving host any more.", "none; the host may go.")
	CircuitOpened   = define(1903, Warn, "circuit-opened", "A runner failed repeatedly and is tried rarely.", "Check the runner.")
	CircuitClosed   = define(1904, Info, "circuit-closed", "A runner answers again.", "none")
	KeysReloaded    = define(2001, Info, "keys-reloaded", "New keys are in use for new connections.", "none")
	KeysRefused     = define(2002, Error, "keys-refused", "The key files could not be used; the old keys stay.", "Read `error`; mend the files before the old ones expire.")
	KeysExpiring    = define(2003, Warn, "keys-expiring", "The certificate expires soon.", "Renew the certificate file.")
	AccountsClosed  = define(2101, Debug, "accounts-closed", "A period of the accounts is durable.", "none")
	DrainStop       = define(1905, Info, "drain-stop", "An attempt on a leaving worker was asked for a checkpoint; it goes on elsewhere.", "none")
	BurnDelayed     = define(2103, Warn, "burn-delayed", "The counts of the burn report could not be stored; they are kept and repeated.", "Check the object store.")
	AccountsDelayed = define(2102, Warn, "accounts-delayed", "A period of the accounts could not be written; it is kept and repeated.", "Check the object store.")
)

// Dockets of accepted jobs.
var (
	DocketTaken        = define(2201, Info, "docket-taken", "This process owns the docket at `epoch` and schedules its jobs.", "none")
	DocketLost         = define(2202, Warn, "docket-lost", "Another process has taken the docket over, or this one gave it up.", "Look for a pause of the host or a cut from the store.")
	DocketRefused      = define(2203, Error, "docket-entry-refused", "A change does not fit the docket and was dropped.", "Report it with the lines around it; it is a fault of the program.")
	DocketSnapshot     = define(2204, Info, "docket-snapshot", "A snapshot replaced the rows of changes.", "none")
	DocketSuspect      = define(2205, Warn, "docket-owner-suspect", "The owner of the docket was silent; this process tries to take over.", "Check the host of `owner`.")
	LayoutKnown        = define(2206, Info, "layout-known", "The division of jobs and workers among dockets is known.", "none")
	LayoutChanged      = define(2207, Info, "layout-changed", "This process has stored a division of jobs and workers among dockets.", "none")
	LayoutRefused      = define(2208, Warn, "layout-not-stored", "Racks without a docket could not be given one; it is tried again.", "Check the store.")
	DocketJobAccepted  = define(2211, Info, "docket-job-accepted", "A job was accepted and is being stored.", "none")
	DocketJobRepeated  = define(2212, Info, "docket-job-repeated", "A job that is known was handed in again.", "none")
	DocketJobRefused   = define(2213, Info, "docket-job-refused", "A job was not accepted; it never runs.", "Read `reason`.")
	DocketJobCancelled = define(2214, Info, "docket-job-cancelled", "A caller has cancelled the job.", "none")
	DocketJobMoved     = define(2216, Info, "docket-job-moved", "A job of which nothing was started goes to the docket `to`, which has more room.", "none")
	DocketJobEnded     = define(2215, Info, "docket-job-ended", "The job has reached its last state.", "none")
	TaskStarting       = define(2221, Info, "task-starting", "A run of a task got a worker; it is sent once that is stored.", "none")
	TaskEnded          = define(2222, Info, "task-ended", "A run is over; `outcome` and `reason` say how.", "none")
	TaskStopping       = define(2223, Info, "task-stopping", "A run is being ended, or kept from beginning.", "none")
	StartFailed        = define(2224, Warn, "start-failed", "A worker did not take a start.", "If one worker does so often, check it.")
	StopFailed         = define(2225, Warn, "stop-failed", "A stop of a run that is not known here was not answered; it is repeated when the run is listed again.", "none")
	Advised            = define(2231, Info, "advised", "The advisory service has named the workers that may run a step.", "none")
	AdviceFailed       = define(2232, Warn, "advice-failed", "A question to the advisory service failed; it is put again.", "If it goes on, check the advisory service.")
	WorkerReborn       = define(2241, Warn, "worker-restarted", "A worker has a new life; what ran there is lost.", "none")
	WorkerUnlisted     = define(2242, Warn, "worker-unlisted", "A worker is no longer in the list of workers.", "none")
	StoreLost          = define(2251, Warn, "store-lost", "The store does not answer this process.", "Check the store and the path to it.")
	StoreRegained      = define(2252, Info, "store-regained", "The store answers again.", "none")
	OwnerLost          = define(2253, Warn, "owner-unreachable", "The owner of the docket does not answer this process.", "Check the path between the hosts.")
	OwnerRegained      = define(2254, Info, "owner-reachable", "The owner of the docket answers again.", "none")
	CallAnswered       = define(2261, Info, "call-answered", "A caller got an answer.", "none")
	CallFailed         = define(2262, Warn, "call-failed", "A call could not be decided; the caller was told so.", "Follow `job` in the logs of the owner.")
	SettingsRead       = define(2271, Info, "settings-read", "The settings file was read after a hangup signal; what has changed is in force from the next start.", "Stop the process if `changed` is true and the change is urgent.")
	EntryUnreadable    = define(2272, Error, "entry-unreadable", "A configuration or an entry of the store cannot be read; the one before stays in force.", "Check who wrote it.")
	RoutesInForce      = define(2273, Info, "routes-in-force", "A newer configuration is in force in this process.", "none")
)
