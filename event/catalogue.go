package event

// Process.
var (
	ProcessStarting     = define(1001, Info, "process-starting", "The process has read its settings.", "none")
	ProcessReady        = define(1002, Info, "process-ready", "The process accepts requests.", "none")
	ProcessStopped      = define(1003, Info, "process-stopped", "The process has shut down; no request was aborted.", "none")
	ProcessFailed       = define(1004, Error, "process-failed", "The process terminates because one of its components failed.", "Read `error`; the platform starts another process.")
	StartRefused        = define(1005, Error, "start-refused", "Neither the platform nor any peer responds, so the process cannot serve requests.", "Check `[platform] address` and `[peers] seeds`, then the network.")
	ShutdownBegun       = define(1010, Info, "shutdown-begun", "The process accepts no new requests.", "none")
	ShutdownHandingOver = define(1011, Info, "shutdown-handing-over", "The process hands its shards to peers.", "none")
	ShutdownWaiting     = define(1012, Info, "shutdown-waiting", "The process is waiting for requests in flight to complete.", "Wait; a second signal lists the requests that would be aborted.")
	ShutdownForced      = define(1013, Warn, "shutdown-forced", "A second signal was received; `requests` are still in flight.", "Send a third signal only if these may be aborted.")
	ControlLoopSlow     = define(1014, Warn, "control-loop-slow", "One step of the control loop took long.", "Look for an overloaded host; compare `persimmonworks_control_loop_busy_seconds_total`.")
)

// Sessions.
var (
	SessionRegistered   = define(1101, Info, "session-registered", "The process has a session.", "none")
	SessionLate         = define(1102, Warn, "session-late", "A renewal of the session was late or failed.", "Check the platform; nothing is lost before `session-lost`.")
	SessionLost         = define(1103, Error, "session-lost", "The session ended; the process no longer acts as the owner of its shards.", "Check for pauses of the host and for the platform.")
	SessionExpiredOther = define(1104, Warn, "session-expired-other", "This process expired the session of another process that did not respond.", "Check the host of `process`.")
	SessionRelayed      = define(1105, Warn, "session-relayed", "A peer relayed the renewal to the platform.", "Check the path from this host to the platform.")
	SessionPromised     = define(1106, Warn, "session-promised", "All witnesses promised not to expire the session; work continues without the platform.", "Restore the platform.")
)

// Shards.
var (
	ShardTaken      = define(1201, Info, "shard-taken", "This process owns the shard at `epoch`.", "none")
	ShardReleased   = define(1202, Info, "shard-released", "The shard was handed over.", "none")
	ShardLost       = define(1203, Warn, "shard-lost", "Another process took the shard.", "Look for `session-lost` of this process.")
	ShardStaleEpoch = define(1204, Warn, "shard-stale-epoch", "A message with an older epoch was refused.", "none; fencing worked. If it continues, look for a paused process.")
)

// Workers.
var (
	WorkerClosed      = define(1301, Warn, "worker-closed", "No attempts are started on a worker until its inventory is known.", "If it stays closed, check the host or declare it lost.")
	WorkerOpened      = define(1302, Info, "worker-opened", "Attempts are started on the worker again.", "none")
	WorkerQuarantined = define(1303, Warn, "worker-quarantined", "Attempts fail on a worker that succeed on others.", "Check the host; `undrain` returns it to service.")
	QuarantineCapped  = define(1304, Error, "quarantine-capped", "More workers fail than may be quarantined at once.", "Check for a faulty job or a common cause before suspecting the hosts.")
	WorkerRefused     = define(1305, Warn, "worker-refused-start", "A worker refused to start an attempt for lack of capacity.", "Compare its capacity with the host list.")
	WorkerLost        = define(1306, Warn, "worker-lost", "All leases of an unreachable worker have certainly expired.", "Check the host.")
)

// Jobs and attempts.
var (
	JobAccepted    = define(1401, Info, "job-accepted", "A job is durably stored.", "none")
	JobRefused     = define(1402, Info, "job-refused", "A job was refused; nothing of it ran.", "Read `reason`.")
	JobFinished    = define(1403, Info, "job-finished", "All tasks of a job have ended.", "none")
	JobParked      = define(1404, Warn, "job-parked", "Tasks were parked after their last attempt.", "Read `reason` and ask the organisation.")
	JobCancelled   = define(1405, Info, "job-cancelled", "A caller cancelled a job.", "none")
	AttemptLost    = define(1406, Warn, "attempt-lost", "An attempt ended without a known result.", "none; an idempotent task gets another attempt.")
	AttemptUnknown = define(1407, Warn, "attempt-unknown", "A non-idempotent task may have run; it is not tried again.", "Tell the organisation; it decides.")
	JobRebuilt     = define(1408, Info, "job-shard-rebuilt", "A new owner has read the records of a job shard.", "none")
	ArchiveFailed  = define(1410, Error, "archive-failed", "Finished jobs could not be moved to the archive; they are kept and the move is retried.", "Check the object store.")
	JournalFailed  = define(1409, Error, "journal-failed", "A group commit of task transitions failed; it is retried.", "Check the platform.")
)

// Platform and peers.
var (
	PlatformAway       = define(1501, Error, "platform-away", "The platform does not respond; granted work continues, new jobs are refused.", "Restore the platform.")
	PlatformBack       = define(1502, Info, "platform-back", "The platform responds again.", "none")
	PlatformAnswerLost = define(1503, Warn, "platform-answer-lost", "The response to a write was lost; the row is read back.", "none")
	HostListStale      = define(1504, Warn, "host-list-stale", "The list of hosts has not been read for a long time.", "Check the platform; until then the process relies on probes.")
	PeerLost           = define(1601, Warn, "peer-lost", "A peer does not respond.", "Check its host and the network between data centres.")
	PeerBack           = define(1602, Info, "peer-back", "A peer responds again.", "none")
	PeerRefused        = define(1603, Warn, "peer-refused", "A peer's certificate was refused.", "Check the issuing authority and the validity dates of its certificate.")
)

// Configuration and intents.
var (
	ConfigApplied  = define(1701, Info, "config-applied", "Configuration `number` is in force in this process.", "none")
	ConfigRefused  = define(1702, Error, "config-refused", "A configuration of the chain could not be read; the previous one stays in force.", "Undo it, or update this process.")
	ConfigBehind   = define(1703, Warn, "config-behind", "Peers have a newer configuration that this process cannot fetch.", "Check its network path to the platform and the peers.")
	IntentProposed = define(1710, Info, "intent-proposed", "A plan was created; nothing has changed yet.", "none")
	IntentRefused  = define(1711, Info, "intent-refused", "A plan was stale or another operator's change came first.", "Create the plan again.")
	IntentInForce  = define(1712, Info, "intent-in-force", "A confirmed plan is in the configuration chain.", "none")
	UpkeepDone     = define(1720, Info, "upkeep-done", "Old configurations and plans were deleted.", "none")
	UpkeepFailed   = define(1721, Warn, "upkeep-failed", "Old rows could not be deleted; the deletion is retried.", "Check the platform; the only effect is that the rows occupy space.")
)

// Requests and upstreams.
var (
	RequestRefused  = define(1801, Debug, "request-refused", "A request was refused and did not run.", "If frequent, compare the queue with its limit.")
	RequestUnknown  = define(1802, Warn, "request-unknown", "A request may have run; its outcome is unknown.", "The caller decides; look at the runner.")
	AnswerStray     = define(1803, Warn, "answer-stray", "A response arrived for a request that no longer exists.", "none")
	BadInput        = define(1804, Info, "bad-input", "A caller's input violated a limit or a rule.", "none; if frequent, tell the organisation.")
	AccessRefused   = define(1805, Warn, "access-refused", "A caller or operator had no valid identity or role.", "If frequent, look for a leaked or expired token.")
	OverloadBegun   = define(1806, Warn, "overload-begun", "Admission refuses work to keep waiting times within their targets.", "See the burn report; add capacity if it lasts.")
	OverloadEnded   = define(1807, Info, "overload-ended", "Admission accepts everything again.", "none")
	DrainNotice     = define(1901, Info, "drain-notice", "A host is leaving and is assigned no new work.", "none")
	DrainDone       = define(1902, Info, "drain-done", "Nothing runs on the leaving host any more.", "none; the host may be removed.")
	CircuitOpened   = define(1903, Warn, "circuit-opened", "A runner failed repeatedly and is now tried only rarely.", "Check the runner.")
	CircuitClosed   = define(1904, Info, "circuit-closed", "A runner responds again.", "none")
	KeysReloaded    = define(2001, Info, "keys-reloaded", "New keys are in use for new connections.", "none")
	KeysRefused     = define(2002, Error, "keys-refused", "The key files could not be used; the old keys stay.", "Read `error`; repair the files before the old keys expire.")
	KeysExpiring    = define(2003, Warn, "keys-expiring", "The certificate expires soon.", "Renew the certificate file.")
	AccountsClosed  = define(2101, Debug, "accounts-closed", "The usage records of a period are durably stored.", "none")
	DrainStop       = define(1905, Info, "drain-stop", "An attempt on a leaving worker was asked for a checkpoint; it continues on another worker.", "none")
	BurnDelayed     = define(2103, Warn, "burn-delayed", "The counts of the burn report could not be stored; they are kept and storing is retried.", "Check the object store.")
	AccountsDelayed = define(2102, Warn, "accounts-delayed", "The usage records of a period could not be stored; they are kept and storing is retried.", "Check the object store.")
)

// Dockets of accepted jobs.
var (
	DocketTaken        = define(2201, Info, "docket-taken", "This process owns the docket at `epoch` and schedules its jobs.", "none")
	DocketLost         = define(2202, Warn, "docket-lost", "Another process has taken over the docket, or this process gave it up.", "Look for a pause of the host or a lost connection to the store.")
	DocketEntryRefused = define(2203, Error, "docket-entry-refused", "A change is inconsistent with the docket and was dropped.", "Report it as a bug, with the surrounding log lines.")
	DocketSnapshot     = define(2204, Info, "docket-snapshot", "A snapshot replaced the stored changes of the docket.", "none")
	DocketOwnerSuspect = define(2205, Warn, "docket-owner-suspect", "The owner of the docket did not respond; this process tries to take over.", "Check the host of `owner`.")
	LayoutKnown        = define(2206, Info, "layout-known", "The division of jobs and workers among dockets is known.", "none")
	LayoutChanged      = define(2207, Info, "layout-changed", "This process has stored a division of jobs and workers among dockets.", "none")
	LayoutNotStored    = define(2208, Warn, "layout-not-stored", "Racks without a docket could not be assigned one; the assignment is retried.", "Check the store.")
	HostNotAnnounced   = define(2209, Warn, "host-not-announced", "The strength of this host could not be stored; the first layout is made without it.", "Check the store.")
	HostsUnknown       = define(2210, Warn, "hosts-unknown", "The strengths of the hosts could not be read; the first layout is made for hosts like this one.", "Check the store.")
	DocketJobAccepted  = define(2211, Info, "docket-job-accepted", "A job was accepted and is being stored.", "none")
	DocketJobRepeated  = define(2212, Info, "docket-job-repeated", "A known job was submitted again.", "none")
	DocketJobRefused   = define(2213, Info, "docket-job-refused", "A job was not accepted; it never runs.", "Read `reason`.")
	DocketJobCancelled = define(2214, Info, "docket-job-cancelled", "A caller has cancelled the job.", "none")
	DocketJobMoved     = define(2216, Info, "docket-job-moved", "A job of which nothing has started is moved to the docket `to`, which has more capacity.", "none")
	DocketJobEnded     = define(2215, Info, "docket-job-ended", "The job has reached a final state.", "none")
	TaskStarting       = define(2221, Info, "task-starting", "A run of a task was assigned a worker; it is sent to the worker once the assignment is stored.", "none")
	TaskEnded          = define(2222, Info, "task-ended", "A run has ended; see `outcome` and `reason`.", "none")
	TaskStopping       = define(2223, Info, "task-stopping", "A run is being stopped or prevented from starting.", "none")
	StartFailed        = define(2224, Warn, "start-failed", "A worker did not accept the start of a run.", "If this happens often with one worker, check it.")
	StopFailed         = define(2225, Warn, "stop-failed", "A request to stop a run that is unknown to this process got no response; it is repeated when the run is listed again.", "none")
	TaskPreempted      = define(2226, Info, "task-preempted", "A run that saves checkpoints is stopped to make room for the urgent step `for`; it resumes later.", "none")
	TaskGivenUp        = define(2227, Warn, "task-given-up", "Workers have crashed under the task again and again, and nothing else can be the cause; its job has failed.", "Tell the organisation of the job; see the worker-crashed lines that name the task.")
	Advised            = define(2231, Info, "advised", "The advisory service has named the workers that may run a step.", "none")
	AdviceFailed       = define(2232, Warn, "advice-failed", "A request to the advisory service failed; it is retried.", "If it continues, check the advisory service.")
	WorkerRestarted    = define(2241, Warn, "worker-restarted", "A worker has restarted; the runs that it had are lost.", "none")
	WorkerUnlisted     = define(2242, Warn, "worker-unlisted", "A worker is no longer in the list of workers.", "none")
	WorkerCrashed      = define(2243, Warn, "worker-crashed", "The process of a worker has ended without notice: see `proof`. `suspects` of its `runs` may be the cause; `tasks` names some.", "Follow a task under `tasks` in this log; if it is suspected again and again, its owner should look at it.")
	StoreLost          = define(2251, Warn, "store-lost", "The store does not respond to this process.", "Check the store and the network path to it.")
	StoreRegained      = define(2252, Info, "store-regained", "The store responds again.", "none")
	OwnerUnreachable   = define(2253, Warn, "owner-unreachable", "The owner of the docket does not respond to this process.", "Check the network path between the hosts.")
	OwnerReachable     = define(2254, Info, "owner-reachable", "The owner of the docket responds again.", "none")
	CallAnswered       = define(2261, Info, "call-answered", "A caller's request was answered.", "none")
	CallFailed         = define(2262, Warn, "call-failed", "The outcome of a call could not be determined; the caller was told so.", "Follow `job` in the logs of the owner.")
	SettingsRead       = define(2271, Info, "settings-read", "The settings file was read after a hangup signal; changes take effect at the next start.", "Stop the process if `changed` is true and the change is urgent.")
	EntryUnreadable    = define(2272, Error, "entry-unreadable", "A configuration or an entry of the store cannot be read; the previous one stays in force.", "Check who wrote it.")
	RoutesInForce      = define(2273, Info, "routes-in-force", "A newer configuration is in force in this process.", "none")
)
