package guards_test

// Thousands of workers that come to one node at once, on a small machine.
const (
	questionsFile = "internal/core/questions.go"
	spacedTest    = "internal/core:^TestQuestionsAreSpacedByTheShare$"
	httpConnFile  = "internal/httpd/conn.go"
)

// loadGuards are those of a failover's load: the lease that outlasts it, and what bounds
// connections, requests and questions meanwhile.
var loadGuards = []guard{
	{
		meeting: "all workers come to a new leader whose share of the processor is small",
		file:    "internal/node/election.go",
		cut:     "return max(tuning.LeaseTTL, min(time.Duration(float64(tuning.LeaseTTL)*tuning.UsualShare/share), longest))",
		put:     "_ = longest\n\treturn tuning.LeaseTTL",
		test:    "internal/node:^TestLeaseGrowsAsTheShareShrinks$",
	},
	{
		meeting: "two leaders end soon after each other, and the workers' leases are short",
		file:    "internal/node/election.go",
		cut:     "longest := min(tuning.LeaseTTLMost, config.Seconds(n.cfg.Deployment.Workers.LeaseS)/tuning.LeaseTTLPart)",
		put:     "longest := max(tuning.LeaseTTLMost, config.Seconds(0))",
		test:    "internal/node:^TestLeaseGrowsAsTheShareShrinks$",
	},
	{
		meeting: "a new leader with a small share asks thousands of machines",
		file:    questionsFile,
		cut:     "if !l.smallShare() {",
		put:     "if true {",
		test:    spacedTest,
	},
	{
		meeting: "machines wait for their turn to be asked while others stay silent",
		file:    "internal/core/fleet.go",
		cut:     "l.watchMachine(list[(first+i)%len(list)])",
		put:     "_ = first\n\t\tl.watchMachine(list[i])",
		test:    spacedTest,
	},
	{
		meeting: "a worker that is about to report by itself is asked as well",
		file:    questionsFile,
		cut:     "return l.smallShare() && m.answeredAt > 0",
		put:     "return false && m.answeredAt > 0",
		test:    "internal/core:^TestNoQuestionWhereAReportIsDue$",
	},
	{
		meeting: "more connections come than sockets or memory hold",
		file:    "cmd/yarrowgap/listen.go",
		cut:     "if l.open.Add(1) <= l.most {",
		put:     "if l.open.Add(1) > 0 {",
		test:    "cmd/yarrowgap:^TestConnectionsOverTheBound$",
	},
	{
		meeting: "sockets are many and memory is small",
		file:    "internal/config/capacity.go",
		cut:     "		taken = min(taken, int(mem",
		put:     "		_ = min(taken, int(mem",
		test:    "internal/config:^TestCapacity$",
	},
	{
		meeting: "hundreds of reports arrive at once, and the lease is to be renewed",
		file:    httpConnFile,
		cut:     "if !c.server.brief(req) {",
		put:     "if true {",
		test:    "internal/httpd:^TestPlaces$",
	},
	{
		meeting: "a request's head does not end",
		file:    httpConnFile,
		cut:     "c.limit.N = tuning.HeadBytes",
		put:     "c.limit.N = 1 << 30",
		test:    "internal/httpd:^TestWhatKeepsAndEndsAConnection$/a_head_without_end",
	},
	{
		meeting: "a refused client still sends its body, and a reset overtakes the answer",
		file:    httpConnFile,
		cut:     "if c.unread {",
		put:     "if false {",
		test:    "internal/httpd:^TestRefusalOfALargeBodyArrives$",
	},
}
