/** Starts the project's controllers as separate processes, with the commands of the deploy file. */

import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, freePorts, now, sleep } from "./http.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** The processes that this script has started and that have not ended. */
const children = new Set();

process.on("exit", () => {
	for (const child of children) child.kill("SIGKILL");
});
process.on("SIGTERM", () => process.exit(2));
process.on("SIGINT", () => process.exit(2));
// A fault of the script itself says nothing about the rule.
process.on("uncaughtException", (error) => {
	console.error(error);
	process.exit(2);
});

/** The program and the arguments of `run` in deploy/service.toml. */
function runCommand() {
	const text = readFileSync(join(root, "deploy", "service.toml"), "utf8");
	return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Writes lines with the time since the start of the script to record.txt, and keeps counts. */
export function openRecord(folder) {
	const stream = createWriteStream(join(folder, "record.txt"));
	const startedAt = now();
	const record = (line) => stream.write(`${((now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}\n`);
	record.close = () => new Promise((resolve) => stream.end(resolve));
	return record;
}

export class Cluster {
	/** @param site nodes: zones of the controllers; cluster: the table `cluster` of the settings without the teams. */
	constructor(site, endpoints, record) {
		Object.assign(this, { site, endpoints, record });
		this.nodes = [];
		this.folder = mkdtempSync(join(tmpdir(), "ramphub-review-"));
		this.unexpectedEnds = 0;
		/** Time at which a leader has begun to have reports forwarded; null: not yet. */
		this.forwardingSince = null;
	}

	async prepare() {
		const ports = await freePorts(2 * this.site.nodes.length);
		this.nodes = this.site.nodes.map((domain, i) => ({
			name: `runner-${i}`,
			domain,
			front: `127.0.0.1:${ports[2 * i]}`,
			back: `127.0.0.1:${ports[2 * i + 1]}`,
			child: null,
			killed: false,
		}));
		for (const node of this.nodes) {
			node.settings = join(this.folder, `${node.name}.toml`);
			writeFileSync(node.settings, this.settingsOf(node));
			node.log = createWriteStream(join(this.folder, `${node.name}.log`));
		}
	}

	settingsOf({ name, domain, front, back }) {
		const { cluster, teams } = this.site;
		const lines = [`node = "${name}"`, `domain = "${domain}"`, `front = "${front}"`, `back = "${back}"`];
		for (const other of this.nodes)
			if (other.name !== name)
				lines.push("", "[[others]]", `node = "${other.name}"`, `domain = "${other.domain}"`, `addr = "${other.back}"`);
		lines.push("", "[endpoints]", `cloud = "${this.endpoints.cloud}"`, `state = "${this.endpoints.state}"`);
		lines.push("", "[cluster]", `nodes = ${this.nodes.length}`);
		lines.push(`zones = ${JSON.stringify(cluster.zones)}`, `clock_off_ms = ${cluster.clock_off_ms.toFixed(1)}`);
		for (const team of teams) {
			lines.push("", "[[cluster.teams]]", `name = "${team.name}"`, `cpus = ${team.cpus.toFixed(1)}`);
			lines.push(`cpus_max = ${team.cpus_max.toFixed(1)}`, "gpus = 0.0", "gpus_max = 0.0");
		}
		for (const table of ["workers", "state", "cloud", "resources"]) {
			lines.push("", `[cluster.${table}]`);
			for (const [key, value] of Object.entries(cluster[table])) lines.push(`${key} = ${value}`);
		}
		return `${lines.join("\n")}\n`;
	}

	startNode(node) {
		const [program, ...args] = runCommand();
		const child = spawn(program, [...args, node.settings], {
			cwd: root,
			env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
			stdio: ["ignore", "ignore", "pipe"],
		});
		child.stderr.on("data", (chunk) => {
			node.log.write(chunk);
			for (const line of chunk.toString("utf8").split("\n")) this.noteLog(node, line);
		});
		children.add(child);
		child.once("exit", () => children.delete(child));
		node.child = child;
		node.killed = false;
		child.once("exit", (code, signal) => {
			if (node.child === child) node.child = null;
			if (!node.killed) {
				this.unexpectedEnds += 1;
				this.record(`${node.name}: ended by itself, code ${code}, signal ${signal}`);
				this.onEndedByItself?.(node);
			}
		});
		this.record(`${node.name}: started, pid ${child.pid}, front ${node.front}`);
		return child;
	}

	/** Copies the log lines about leadership and faults to the record. */
	noteLog(node, line) {
		if (line.includes("heartbeat forwarding enabled")) this.forwardingSince = now();
		if (!/leadership|failover|forwarding|"level":50|FATAL|pause detected/.test(line)) return;
		this.record(`${node.name} logs: ${line.slice(0, 300)}`);
	}

	startAll() {
		for (const node of this.nodes) this.startNode(node);
	}

	/** Kills the process with no signal that it could handle, and resolves once it has ended. */
	async kill(node) {
		const { child } = node;
		if (!child) return;
		node.killed = true;
		const ended = new Promise((resolve) => child.once("exit", resolve));
		child.kill("SIGKILL");
		await ended;
		this.record(`${node.name}: killed`);
	}

	async stop() {
		await Promise.all(this.nodes.map((node) => this.kill(node)));
		for (const node of this.nodes) node.log.end();
		if (process.env.KEEP_LOGS) this.record(`logs are kept`);
		else rmSync(this.folder, { recursive: true, force: true });
	}

	async ready(node) {
		const { status } = await call(node.front, "GET", "/ready", undefined, { timeoutMs: 1000 });
		return status === 200;
	}

	/** Waits until that many controllers are ready; false: not within the time. */
	async waitReady(count, timeoutMs) {
		const until = now() + timeoutMs;
		while (now() < until) {
			const ready = await Promise.all(this.nodes.map((node) => this.ready(node)));
			if (ready.filter(Boolean).length >= count) return true;
			await sleep(100);
		}
		return false;
	}
}
