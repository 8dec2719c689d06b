import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { Worker } from "node:worker_threads";
import { longestUnknowingMs } from "../src/coordination/controller.js";
import { reasonImpossible } from "../src/coordination/jobs/job-service.js";
import { parseJobSpec } from "../src/protocol/http/user-api.js";
import { parseHeartbeat } from "../src/protocol/http/worker-api.js";
import type { JobSpec } from "../src/protocol/model/job.js";
import type { MachineType } from "../src/protocol/model/machine.js";
import { parseOperator } from "../src/protocol/settings/operator.js";
import { parsePlatform } from "../src/protocol/settings/platform.js";
import { HttpClient } from "../src/transport/http-client.js";
import { FrameReader, frame } from "../src/transport/peer-link.js";
import { listenPublicApi, type PublicService, publicApi } from "../src/transport/public-api.js";
import { TokenBucket } from "../src/transport/token-bucket.js";
import { version } from "../src/version.js";
import { silentLog } from "./support/silent-log.js";
import { specOf } from "./support/specs.js";
import { World } from "./support/world.js";

const root = fileURLToPath(new URL("../../../", import.meta.url));

const settings = `node = "runner-0"
domain = "z"
front = "127.0.0.1:8080"
back = "127.0.0.1:8081"
unknown = "is ignored"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 1
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 37.0
[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 2.0
list_lag_s = 4.0
`;

const job = {
	id: "j-000412",
	lane: "train",
	desk: "red",
	form: "array",
	urgency: "urgent",
	pieces: 16,
	cores: 8.0,
	accelerators: 1.0,
	ram_gb: 64.0,
	bundle: "img-07",
	image_gb: 6.2,
	shapes: ["g8"],
	hall: null,
	one_zone: true,
	spread: false,
	loaners: true,
	guess_s: 240.0,
	bookmark_s: 30.0,
	bookmark_cost_s: 4.0,
	due_s: 900.0,
};

const service: PublicService = {
	submit: async (spec) =>
		spec.team === "red"
			? { kind: "accepted", status: "pending" }
			: { kind: "impossible", reason: "there is no team" },
	status: async (id) =>
		id === "j-1" ? { kind: "job", status: "running", done: 1, running: 2 } : { kind: "unknown" },
	cancel: async () => ({ kind: "later", reason: "not now" }),
	handleHeartbeat: async () => ({ kind: "elsewhere", node: "runner-2" }),
	ready: () => true,
};

test("a job's fields are checked one by one and the fault is named", () => {
	assert.equal(parseJobSpec(JSON.stringify(job)).team, "red");
	assert.equal(parseJobSpec(JSON.stringify({ ...job, hall: undefined, extra: 1 })).zone, null);
	const wrong: [string, unknown, RegExp][] = [
		["id", "x-1", /"id" must look like/],
		["id", undefined, /"id" is missing/],
		["pieces", 0, /"pieces" must be at least 1/],
		["pieces", 1.5, /"pieces" must be a whole number/],
		["pieces", 100_001, /"pieces" must be at most/],
		["cores", -1, /"cores" must be above 0/],
		["cores", "2", /"cores" must be a number/],
		["ram_gb", -0.5, /"ram_gb" must not be negative/],
		["urgency", "soon", /"urgency" must be/],
		["form", "ensemble", /"form" must be/],
		["shapes", [], /"shapes" must not be empty/],
		["loaners", null, /"loaners" must be true or false/],
		["loaners", 1, /"loaners" must be true or false/],
		["pieces", -4, /"pieces" must be at least 1/],
		["pieces", "16", /"pieces" must be a number/],
		["pieces", [16], /"pieces" must be a number/],
		["cores", "NaN", /"cores" must be a number/],
		["cores", null, /"cores" must be a number/],
		["guess_s", 0, /"guess_s" must be above 0/],
		["due_s", -1, /"due_s" must be above 0/],
		["bookmark_s", -1, /"bookmark_s" must not be negative/],
		["image_gb", {}, /"image_gb" must be a number/],
		["accelerators", true, /"accelerators" must be a number/],
		["shapes", "g8", /"shapes" must be a list or null/],
		["shapes", [8], /"shapes\.0" must be a string/],
		["hall", 3, /"hall" must be a string/],
		["hall", "", /"hall" must not be empty/],
		["desk", "", /"desk" must not be empty/],
		["lane", undefined, /"lane" is missing/],
		["bundle", null, /"bundle" must be a string/],
		["spread", "yes", /"spread" must be true or false/],
		["urgency", null, /"urgency" must be/],
	];
	for (const [field, value, expected] of wrong) {
		assert.throws(() => parseJobSpec(JSON.stringify({ ...job, [field]: value })), expected);
	}
	assert.throws(() => parseJobSpec("[1]"), /not a JSON object/);
	assert.throws(() => parseJobSpec("{"), /not JSON/);
	assert.throws(() => parseJobSpec('{"id":"j-1","cores":1e999}'), /is missing|finite/);
});

test("reports are read into the service's own words", () => {
	const report = parseHeartbeat(
		JSON.stringify({
			host: "n-1",
			endpoint: "10.1.0.1:9000",
			shape: "g8",
			hall: "a",
			loaners: true,
			shift: 1,
			tick: 8,
			baton: 41,
			pieces: [
				{ piece: "j-1/3", try: 2, status: "pulling" },
				{ piece: "j-1/4", try: 3, status: "exited", cause: "full" },
			],
		}),
	);
	assert.deepEqual(
		report.tasks.map((t) => [t.taskIndex, t.state, t.exitCause]),
		[
			[3, "fetching", null],
			[4, "exited", "no_room"],
		],
	);
	assert.equal(report.reclaimInS, null);
	assert.throws(() => parseHeartbeat('{"host":"n-1"}'), /"pieces" must be a list/);
});

test("a submission is judged by every demand together; a known one is answered whatever is in it", async () => {
	const type = (
		name: string,
		cpus: number,
		memoryGb: number,
		gpus: number,
		zones: string[],
	): MachineType => ({
		name,
		cpus,
		gpus,
		memoryGb,
		cacheGb: 50,
		fetchGbPerS: 1,
		price: 1,
		spotPrice: 1,
		bootS: 30,
		zones,
	});
	const types = [
		type("wide", 16, 32, 0, ["a"]),
		type("deep", 4, 128, 2, ["b"]),
		type("nowhere", 64, 512, 8, []),
	];
	const team = { name: "red", cpus: 4, cpus_max: 20, gpus: 0, gpus_max: 4 };
	const why = (more: Partial<JobSpec>) => reasonImpossible(specOf("j-1", { cpus: 2, ...more }), team, types);
	assert.equal(why({}), null);
	assert.equal(why({ cpus: 16, zone: "a" }), null);
	assert.match(
		why({ cpus: 16, memoryGb: 64 }) as string,
		/fits no allowed machine type/,
		"no one type has both",
	);
	assert.match(why({ cpus: 16, zone: "b" }) as string, /fits no/, "the type is not offered in the zone");
	assert.match(why({ gpus: 1, machineTypes: ["wide"] }) as string, /fits no/);
	assert.match(
		why({ machineTypes: ["nowhere"] }) as string,
		/fits no/,
		"a type offered in no zone can't be rented",
	);
	assert.match(why({ cpus: 21 }) as string, /more than the limit/);
	assert.match(reasonImpossible(specOf("j-1"), undefined, types) as string, /no team "red"/);
	// Its tasks run half by half in the one zone, so this array can run (trace 47 plays its like).
	assert.equal(why({ zone: "a", spreadZones: true, singleZone: true }), null);

	const app = publicApi(service, silentLog);
	const post = (body: unknown) => app.request("/v1/jobs", { method: "POST", body: JSON.stringify(body) });
	assert.equal((await post({ ...job, id: "j-2", pieces: 0 })).status, 400);
	const known = await post({ ...job, id: "j-1", pieces: 0 });
	assert.deepEqual([known.status, await known.json()], [200, { id: "j-1", status: "running" }]);

	const world = new World();
	await world.time.advance(2000);
	const small = { id: "j-000001", pieces: 1, cores: 1 };
	const noZone = await world.submit("runner-0", { ...small, hall: "z" });
	assert.equal(noZone.status, 400);
	assert.match(noZone.body.error as string, /"hall": there is no zone "z"/);
	assert.equal((await world.submit("runner-0", small)).status, 201);
	assert.equal((await world.submit("runner-1", { ...small, hall: "z" })).status, 200, "known, whatever else");
});

test("the front answers every kind of request cleanly", async () => {
	const app = publicApi(service, silentLog);
	const post = (path: string, body: string) => app.request(path, { method: "POST", body });
	assert.equal((await app.request("/ready")).status, 200);
	assert.equal((await post("/v1/jobs", JSON.stringify(job))).status, 201);
	assert.equal((await post("/v1/jobs", JSON.stringify({ ...job, desk: "green" }))).status, 422);
	const bad = await post("/v1/jobs", JSON.stringify({ ...job, cores: null }));
	assert.equal(bad.status, 400);
	assert.match(((await bad.json()) as { error: string }).error, /"cores"/);
	assert.equal((await post("/v1/jobs", "x".repeat(70_000))).status, 413);
	assert.deepEqual(await (await app.request("/v1/jobs/j-1")).json(), {
		id: "j-1",
		status: "running",
		done: 1,
		running: 2,
	});
	assert.equal((await app.request("/v1/jobs/j-2")).status, 404);
	assert.equal((await app.request("/v1/jobs/nonsense")).status, 404);
	const later = await post("/v1/jobs/j-1/abort", "");
	assert.equal(later.status, 503);
	assert.equal(later.headers.get("retry-after"), "1");
	assert.equal((await app.request("/v1/jobs", { method: "DELETE" })).status, 405);
	assert.equal((await app.request("/elsewhere")).status, 404);
});

const report = {
	host: "n",
	endpoint: "e:1",
	shape: "s",
	hall: "a",
	shift: 1,
	tick: 1,
	baton: 0,
	pieces: [],
};

test("the front serves over a socket, bounds bodies and survives garbage", async () => {
	const front = await listenPublicApi(service, "127.0.0.1", 0, 50, silentLog);
	try {
		await new Promise<void>((resolve) => {
			const socket = connect(front.port, "127.0.0.1", () => socket.write("nonsense\r\n\r\n"));
			socket.on("error", () => {});
			socket.on("data", () => {});
			socket.on("close", () => resolve());
		});
		const client = new HttpClient(`127.0.0.1:${front.port}`, 2);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
		assert.equal((await client.call("POST", "/v1/jobs", { text: "x".repeat(70_000) }, 5000)).status, 413);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
		const moved = await client.call("POST", "/v1/report", report, 5000);
		assert.deepEqual(moved, { status: 421, body: { foreman: "runner-2" } });
		assert.equal((await client.call("POST", "/v1/report?try=2", report, 5000)).status, 421);
		const bad = await client.call("POST", "/v1/report", { ...report, shift: -1 }, 5000);
		assert.equal(bad.status, 400);
		assert.match((bad.body as { error: string }).error, /"shift"/);
		const large = { ...report, endpoint: "x".repeat(70_000) };
		assert.equal((await client.call("POST", "/v1/report", large, 5000)).status, 413);
		assert.equal((await client.call("GET", "/v1/report", undefined, 5000)).status, 405);
		client.close();
	} finally {
		front.close();
	}
	const gone = new HttpClient(`127.0.0.1:${front.port}`, 2);
	await assert.rejects(gone.call("GET", "/ready", undefined, 5000), { outcome: "not executed" });
	gone.close();
});

test("where connections are short workers are asked to open theirs anew, users are not", async () => {
	const front = await listenPublicApi(service, "127.0.0.1", 0, 10, silentLog);
	const idle: ReturnType<typeof connect>[] = [];
	const agent = new Agent({ keepAlive: true, maxSockets: 1 });
	const ask = (path: string, body?: object) =>
		new Promise<string | undefined>((resolve, reject) => {
			const method = body ? "POST" : "GET";
			const sent = request({ host: "127.0.0.1", port: front.port, path, method, agent }, (answer) => {
				answer.resume();
				answer.once("end", () => resolve(answer.headers.connection));
			});
			sent.once("error", reject);
			sent.end(body && JSON.stringify(body));
		});
	try {
		assert.notEqual(await ask("/v1/report", report), "close");
		for (let i = 0; i < 9; i++) {
			const socket = connect(front.port, "127.0.0.1");
			idle.push(socket);
			await new Promise<void>((resolve) => socket.once("connect", resolve));
		}
		// The far end has connected before the server takes a connection up.
		await new Promise((resolve) => setTimeout(resolve, 100));
		assert.equal(await ask("/v1/report", report), "close");
		assert.notEqual(await ask("/v1/jobs/j-1"), "close");
	} finally {
		for (const socket of idle) socket.destroy();
		agent.destroy();
		front.close();
	}
});

test("an answer that came while the process stood still counts, though its deadline has passed", async () => {
	const source = `
		const { parentPort } = require("node:worker_threads");
		const server = require("node:http").createServer((request, response) => {
			if (request.url === "/never") return;
			setTimeout(() => response.end("{}"), 300);
		});
		server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`;
	const worker = new Worker(source, { eval: true });
	const port = await new Promise<number>((resolve) => worker.once("message", resolve));
	const client = new HttpClient(`127.0.0.1:${port}`, 2);
	const standStill = (ms: number) => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
	try {
		await client.call("GET", "/", undefined, 5000);
		const answer = client.call("GET", "/", undefined, 1500);
		const none = client.call("GET", "/never", undefined, 1500);
		const failed = assert.rejects(none, { outcome: "unknown" });
		// The requests leave before the process stands still, and both deadlines pass meanwhile.
		await new Promise((resolve) => setTimeout(resolve, 30));
		// Between an immediate and the next look at sockets timers come first.
		await new Promise((resolve) => setImmediate(resolve));
		standStill(2500);
		assert.equal((await answer).status, 200);
		await failed;
	} finally {
		client.close();
		await worker.terminate();
	}
});

test("frames between controllers survive any cutting of the stream", () => {
	const messages = [{ a: 1 }, { text: "x".repeat(1000), list: [1, null, "y"] }, 7];
	const bytes = Buffer.concat(messages.map(frame));
	for (const step of [1, 3, 500, bytes.length]) {
		const reader = new FrameReader();
		const got: unknown[] = [];
		for (let i = 0; i < bytes.length; i += step) got.push(...reader.push(bytes.subarray(i, i + step)));
		assert.deepEqual(got, messages);
	}
	assert.throws(() => new FrameReader().push(Buffer.from([255, 255, 255, 255])), /frame of/);
});

test("a token bucket keeps a rate and a reserve", () => {
	let now = 0;
	const bucket = new TokenBucket(10, 5, () => now);
	for (let i = 0; i < 3; i++) assert.ok(bucket.take(1, 2));
	assert.equal(bucket.take(1, 2), false);
	assert.ok(bucket.take(2));
	assert.equal(bucket.take(1), false);
	now = 100;
	assert.ok(bucket.take(1));
});

test("platform settings: unknown fields are ignored, faults are named with their file", () => {
	// No limit was told, and 0 means none: neither keeps a team from using anything.
	assert.equal(parsePlatform("s.toml", settings).cluster.teams[0]?.gpus_max, Number.POSITIVE_INFINITY);
	const guest = settings.replace(/cpus = [\d.]+\ncpus_max = 8\.0/, "cpus = 0.0\ncpus_max = 0.0");
	assert.notEqual(guest, settings);
	const [team] = parsePlatform("s.toml", guest).cluster.teams;
	assert.deepEqual([team?.cpus, team?.cpus_max], [0, Number.POSITIVE_INFINITY]);
	assert.throws(() => parsePlatform("s.toml", "node = "), /s\.toml: not TOML/);
	assert.throws(
		() => parsePlatform("s.toml", settings.replace("lease_s = 10.0", "")),
		/"cluster\.workers\.lease_s"/,
	);
	assert.throws(
		() => parsePlatform("s.toml", settings.replace("cpus_max = 8.0", "cpus_max = 1.0")),
		/guarantee must not exceed/,
	);
	const peer = (node: string) => `[[others]]\nnode = "${node}"\ndomain = "z"\naddr = "127.0.0.1:9"\n`;
	const with4 = `${settings.replace("nodes = 1", "nodes = 5")}${["a", "b", "c", "d"].map(peer).join("")}`;
	assert.equal(parsePlatform("s.toml", with4).others.length, 4);
	const refused: [string, RegExp][] = [
		[with4.replace("nodes = 5", "nodes = 3"), /"cluster\.nodes": is 3, but .* are 5/],
		[with4.replace('"d"', '"a"'), /"others\.3\.node": "a" is named twice/],
		[with4.replace('"d"', '"runner-0"'), /"others\.3\.node": "runner-0" is named twice/],
		[settings.replace("report_s = 1.0", "report_s = 10.0"), /"cluster\.workers\.report_s"/],
		[settings.replace("cancel_s = 37.0", "cancel_s = 9.0"), /"cluster\.workers\.lease_s"/],
	];
	for (const [text, message] of refused) assert.throws(() => parsePlatform("s.toml", text), message);
});

test("limits of the state service that are to come hold from the start; impossible ones are refused by field", () => {
	const state = (next: string) =>
		parsePlatform("s.toml", `${settings}[cluster.state.next]\n${next}\n`).cluster.state;
	const lesser = state("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0");
	assert.deepEqual([lesser.value_kb, lesser.txn_ops, lesser.write_rps, lesser.rps], [2, 4, 20, 100]);
	assert.equal(state("").value_kb, 16);
	for (const wrong of ["value_kb = 0", "txn_ops = -1", "txn_ops = 1.5", "write_rps = nan", 'rps = "many"'])
		assert.throws(
			() => state(wrong),
			new RegExp(`s\\.toml: field "cluster\\.state\\.next\\.${wrong.split(" ")[0]}"`),
		);
});

test("operators' settings: unknown fields are rejected by name, limits are checked", async () => {
	assert.equal((await parseOperator("o.yaml", "climb:\n  high: 2\n")).climb.high, 2);
	assert.equal((await parseOperator("o.yaml", "")).climb.up_past, 3);
	await assert.rejects(parseOperator("o.yaml", "climb:\n  hgih: 2\n"), /o\.yaml: .*hgih/);
	await assert.rejects(parseOperator("o.yaml", "climb:\n  high: 0.1\n"), /"climb\.low": must be below/);
	await assert.rejects(parseOperator("o.yaml", "- 1\n"), /expected a mapping/);
});

test("authority without the store, a worker's lease and a margin end within cancel_s", () => {
	const platform = parsePlatform("s.toml", settings);
	const { cancel_s, lease_s } = platform.cluster.workers;
	assert.ok(longestUnknowingMs(platform) / 1000 + lease_s * 1.001 + 2 < cancel_s);
	const tight = parsePlatform("s.toml", settings.replace("cancel_s = 37.0", "cancel_s = 11.0"));
	assert.equal(longestUnknowingMs(tight), 0);
});

function run(args: string[]): Promise<{ code: number; out: string; err: string }> {
	const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
	return new Promise((resolve) => {
		execFile(process.execPath, [main, ...args], (error, out, err) =>
			resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err }),
		);
	});
}

test("the command line: --check, --version, bad settings and missing options", async () => {
	const dir = mkdtempSync(join(tmpdir(), "ramphub-test-"));
	try {
		const good = join(dir, "good.toml");
		const bad = join(dir, "bad.toml");
		writeFileSync(good, settings);
		writeFileSync(bad, settings.replace("cloud =", "clod ="));
		const pkg = JSON.parse(readFileSync(join(root, "package.json"), "utf8")) as { version: string };
		assert.equal(version, pkg.version);
		assert.deepEqual(await run(["--version"]), { code: 0, out: `${pkg.version}\n`, err: "" });
		assert.equal((await run(["--config", good, "--check"])).code, 0);
		const failed = await run(["--config", bad, "--check"]);
		assert.equal(failed.code, 2);
		assert.match(failed.err, /bad\.toml: field "endpoints\.cloud"/);
		assert.equal((await run([])).code, 2);
		assert.match((await run(["--help"])).out, /--operator <file>/);
	} finally {
		rmSync(dir, { recursive: true });
	}
});
