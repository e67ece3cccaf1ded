package main

// command describes one command of the command line.
type command struct {
	name, short, long string
	data              any // a flags.Commander
}

// commands returns every command. Each long text describes the command and ends
// with an example that can be run as it is.
func commands(c console) []command {
	return []command{
		{"dev", "run a complete mesh on this machine",
			"Runs a platform stand-in, nodes in two data centres and sample backend servers in one process, applies " +
				"examples/recipes and prints \"ready URL\" once they are in force on every node. The first SIGTERM " +
				"or SIGINT drains the nodes, the second stops at once.\n\n" +
				"Example: agatekeel dev --listen 127.0.0.1:8080", &devCommand{console: c}},
		{"node", "run one node",
			"Runs the node of one backend server. The first SIGTERM or SIGINT drains it: it accepts no new requests, " +
				"finishes those in flight and exits. The second stops it at once. With --check-settings it only " +
				"checks the settings file.\n\n" +
				"Example: agatekeel node --settings examples/hobbard-lyle/node.json --check-settings", &nodeCommand{console: c}},
		{"sidecar", "run one node on the users' platform",
			"Runs the node of one backend server, with the settings file whose path is in AGATEKEEL_SETTINGS. The first " +
				"SIGTERM or SIGINT drains it, the second stops it at once. With --check-settings it only checks the " +
				"settings file.\n\n" +
				"Example: agatekeel sidecar --check-settings",
			&sidecarCommand{console: c}},
		{"check", "check objects offline",
			"Checks the objects of JSON files or directories as one complete set, as the publisher does, and prints " +
				"every fault with file, object, field and reason. Nothing is sent.\n\n" +
				"Example: agatekeel check examples/recipes", &checkCommand{console: c}},
		{"apply", "submit objects",
			"Submits the objects of JSON files or directories; they take effect together or not at all. It prints the " +
				"submission's ID first. An object with the version shown by \"get\" is refused if it was changed " +
				"since; one without a version replaces what was published when apply began. With --wait " +
				"it returns when every live node runs the objects, or with exit code 1 when they are rejected or " +
				"--timeout passes. A timeout does not withdraw the submission: run \"status ID\" later. If an answer was lost, " +
				"run the same command again with --id ID: a submission ID never takes effect twice.\n\n" +
				"Example: agatekeel apply --wait examples/recipes", &applyCommand{console: c}},
		{"get", "show published objects",
			"Shows the published objects, all of them or those given as Kind or Kind/name. The JSON form " +
				"can be edited and applied again; it includes the versions that apply checks.\n\n" +
				"Example: agatekeel get -o json Service/orders", &getCommand{console: c}},
		{"status", "show the status of submissions",
			"Shows the phase of a submission: Pending, Rejected with every fault, Accepted with a version, or " +
				"InForce when every live node runs it. Without an ID it lists the latest submissions. The exit code " +
				"depends on whether the status could be read, not on the phase.\n\n" +
				"Example: agatekeel status", &statusCommand{console: c}},
		{"diff", "show what apply would change",
			"Shows what applying the files would add (+), change (~) or, with --prune, delete (-). Nothing is sent.\n\n" +
				"Example: agatekeel diff examples/recipes", &diffCommand{console: c}},
		{"dump", "show the complete state of a process",
			"Prints the complete state of a process as JSON: configuration, position in the tree, links, leases, backend " +
				"servers, queues and memory.\n\n" +
				"Example: agatekeel dump --admin 127.0.0.1:8081", &dumpCommand{console: c}},
		{"explain", "explain the outcome of one request from logs",
			"Reads the logs of nodes and prints the log lines of one request in order of time, related events of its nodes " +
				"around that time, which lines are missing, and the cause of the outcome. The times of nodes whose clocks " +
				"differ are shifted so that causes come before their effects.\n\n" +
				"Example: agatekeel explain 9c41d07be2a35f68 node-1.log node-2.log", &explainCommand{console: c}},
		{"load", "send requests at a fixed rate and measure latency",
			"Sends requests at a fixed rate that does not depend on the answers, and prints percentiles of the latency by " +
				"class and target, measured from the time at which each request was due. Exit code 1 means that the share " +
				"of failed requests is over --max-error-share.\n\n" +
				"Example: agatekeel load --rate 500 --request 'GET /recipe-book/recipes/1' --request 'orders=POST /orders {}'",
			&loadCommand{console: c}},
		{"version", "show the version of this binary",
			"Prints the version of this binary, its revision and the Go release that built it.\n\n" +
				"Example: agatekeel version -o json", &versionCommand{console: c}},
	}
}
