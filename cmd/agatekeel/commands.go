package main

// command is one entry of the command line.
type command struct {
	name, short, long string
	data              any // a flags.Commander
}

// commands returns every command. Each long text says what the command does
// and ends with an example that runs as written.
func commands(c console) []command {
	return []command{
		{"dev", "run a whole mesh on this machine",
			"Runs a platform stand-in, nodes in two data centres and sample backend servers in one process, applies " +
				"examples/recipes and prints \"ready URL\" once they are in force on every node. The first SIGTERM " +
				"or SIGINT drains, the second ends at once.\n\n" +
				"Example: agatekeel dev --listen 127.0.0.1:8080", &devCommand{console: c}},
		{"node", "run one node",
			"Runs the node beside one backend server. The first SIGTERM or SIGINT drains it: it takes nothing new, " +
				"finishes what is in flight and ends. The second ends it at once. With --check-settings it only " +
				"checks the settings file.\n\n" +
				"Example: agatekeel node --settings examples/hobbard-lyle/node.json --check-settings", &nodeCommand{console: c}},
		{"sidecar", "run one node on the users' platform",
			"Runs the node beside one backend server, with the settings file that AGATEKEEL_SETTINGS names. The first " +
				"SIGTERM or SIGINT drains it, the second ends it at once. With --check-settings it only checks the " +
				"settings file.\n\n" +
				"Example: agatekeel sidecar --check-settings",
			&sidecarCommand{console: c}},
		{"check", "check objects offline",
			"Checks the objects of JSON files or directories as one whole set, as the publisher would, and prints " +
				"every fault with file, object, field and reason. Nothing is sent.\n\n" +
				"Example: agatekeel check examples/recipes", &checkCommand{console: c}},
		{"apply", "submit objects",
			"Submits the objects of JSON files or directories; they take effect together or not at all. It prints the " +
				"submission's ID first. An object that carries the version shown by \"get\" is refused if somebody " +
				"changed it since; one without a version replaces what was published when apply began. With --wait " +
				"it returns when every live node runs the objects, or with exit code 1 when they are rejected or " +
				"--timeout passes. A timeout takes nothing back: ask \"status ID\" later. If an answer was lost, " +
				"run the same command again with --id ID: one ID never takes effect twice.\n\n" +
				"Example: agatekeel apply --wait examples/recipes", &applyCommand{console: c}},
		{"get", "show published objects",
			"Shows the objects that are published, all of them or those named as Kind or Kind/name. The JSON form " +
				"can be edited and applied again; it carries the versions that apply checks.\n\n" +
				"Example: agatekeel get -o json Service/orders", &getCommand{console: c}},
		{"status", "show what became of submissions",
			"Shows how far a submission has come: Pending, Rejected with every fault, Accepted with a version, or " +
				"InForce when every live node runs it. Without an ID it lists the latest. The exit code tells whether " +
				"it could be read, not the phase.\n\n" +
				"Example: agatekeel status", &statusCommand{console: c}},
		{"diff", "show what apply would change",
			"Shows what applying the files would add (+), change (~) or, with --prune, delete (-). Nothing is sent.\n\n" +
				"Example: agatekeel diff examples/recipes", &diffCommand{console: c}},
		{"dump", "show a process's whole state",
			"Prints the whole state of a process as JSON: configuration, place in the tree, links, leases, backend " +
				"servers, queues and memory.\n\n" +
				"Example: agatekeel dump --admin 127.0.0.1:8081", &dumpCommand{console: c}},
		{"explain", "tell the story of one request from logs",
			"Reads the logs of nodes and prints what they tell of one request in order of time, what its nodes learned " +
				"around it, what is missing, and the cause. Clocks that differ are shifted so that cause goes before " +
				"effect.\n\n" +
				"Example: agatekeel explain 9c41d07be2a35f68 node-1.log node-2.log", &explainCommand{console: c}},
		{"load", "send requests at a fixed rate and measure latency",
			"Sends requests at a fixed rate, whatever the answers do, and prints percentiles of the latency by class " +
				"and target, counted from the moment at which each request was due. Exit code 1 says that more than " +
				"--max-error-share of them were not answered well.\n\n" +
				"Example: agatekeel load --rate 500 --request 'GET /recipe-book/recipes/1' --request 'orders=POST /orders {}'",
			&loadCommand{console: c}},
		{"version", "show the version of this binary",
			"Prints the version of this binary, its revision and the Go release that built it.\n\n" +
				"Example: agatekeel version -o json", &versionCommand{console: c}},
	}
}
