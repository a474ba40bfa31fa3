package harness

// KeyedConfig is the platform's configuration of a node: the project's example, with marked further tries. LISTEN, POOL
// and MEMBERS stand for addresses.
const KeyedConfig = `{"name":"n3","listen":"LISTEN","pool":"POOL","members":"MEMBERS",
 "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":96,"sockets":512},"settings":{"tickMs":2,"groupSize":1,
 "clientHabits":{"marksRetry":true},
 "lanes":[{"name":"read","aimMs":1000,"deadlineMs":4000,"effect":"idempotent","worth":1},
  {"name":"pay","aimMs":1000,"deadlineMs":4000,"effect":"deduplicated","windowMs":5000,"worth":2}],
 "parties":[{"name":"acme","share":1,"quotaRps":10}],
 "extra":{"cpus":2,"ramKb":100000,"runFactor":4,"entryKb":1,"meters":["cpu_busy","runnable"],"passesDeadline":true,
  "tellsGone":true,"preemption":"drop","say":"weight","keepaliveMaxMs":30000,"upstreams":1,"heededMs":1000,"below":"none"},
 "bounds":{"retryAfter":true,"maxRetryAfterMs":1000},
 "obligations":{"fallMultiple":8,"rampTimeMs":9000,"fallMs":1500,"stopSendingWithinMs":200,"answerSlackMs":60}}}`
