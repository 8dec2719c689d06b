import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { fileURLToPath } from "node:url";
import type { Amount, QuotaStore } from "#team-quota";
import type { History } from "../../packages/team-quota/tests/support/history.js";
import type { Uint64 } from "../../src/protocol/model/uint64.js";
import { quotaStore } from "../../src/team-quota.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import {
	hostClockMs,
	type NodeConfig,
	type NodeMessage,
	type ParentMessage,
	type QuotaTask,
} from "./quota-node.js";
import { ProcessHistory } from "./quota-process-history.js";
import { StateService } from "./state-service.js";

const script = fileURLToPath(new URL("./quota-node.js", import.meta.url));

interface NodeProcess {
	config: NodeConfig;
	child: ChildProcess;
}

/**
 * Controllers as processes on loopback. This process acts as their store and workers, and records the
 * history.
 */
export class QuotaProcesses {
	readonly state = new StateService({
		now: () => performance.now(),
		after: (ms, run) => {
			setTimeout(run, ms).unref();
			return { cancel() {} };
		},
	});
	readonly waitsMs: number[] = [];
	readonly elections: { kind: "leads"; at: number }[] = [];
	/** Fraction of the store's answers to writes that are lost after the write. */
	lostAnswerRate = 0;
	storeWrites = 0;
	/** Number of changes of the CPU limit in force of `red`. */
	redLimitChanges = 0;
	private readonly members = new Map<string, NodeProcess>();
	private readonly servers: Server[] = [];
	private readonly recorded = new ProcessHistory(hostClockMs);
	private readonly lastCpuLimits = new Map<string, number>();
	private spawnedProcesses = 0;

	constructor(
		private readonly teams: [string, { limit: Amount; guarantee: Amount }][],
		private readonly generatesLoad: boolean,
		/** For comparison: only the leader admits, and the other controllers send it their requests. */
		private readonly leaderOnlyAdmits = false,
	) {}

	async start(nodes: string[]): Promise<void> {
		const ports = await Promise.all(nodes.map(freePort));
		const addresses = nodes.map((node, i) => ({ node, domain: "d", addr: `127.0.0.1:${ports[i]}` }));
		for (const [i, node] of nodes.entries()) {
			const config: NodeConfig = {
				node,
				incarnation: "",
				peerPort: ports[i] as number,
				others: addresses.filter((other) => other.node !== node),
				stateAddress: await this.startStoreServer(node),
				teams: this.teams,
				clockRate: 1 + (i - 1) * 0.0005,
				generatesLoad: this.generatesLoad,
				leaderOnlyAdmits: this.leaderOnlyAdmits,
			};
			this.members.set(node, { config, child: this.spawn(config) });
		}
	}

	private spawn(config: NodeConfig): ChildProcess {
		this.spawnedProcesses += 1;
		config.incarnation = `p${this.spawnedProcesses}`;
		const child = fork(script, [JSON.stringify(config)], { serialization: "advanced" });
		child.on("message", (message) => this.handleMessage(child, message as NodeMessage));
		return child;
	}

	get nodes(): string[] {
		return [...this.members.keys()];
	}

	/** The node whose name is in the leader's key. */
	get leader(): string | undefined {
		return (this.state.rows.get("r/one/leader")?.v as { node: string } | undefined)?.node;
	}

	signal(node: string, signal: NodeJS.Signals): void {
		this.members.get(node)?.child.kill(signal);
	}

	async restart(node: string): Promise<void> {
		const member = this.members.get(node) as NodeProcess;
		if (member.child.exitCode === null && member.child.signalCode === null) {
			member.child.kill("SIGKILL");
			await once(member.child, "exit");
		}
		this.recorded.processEnded(member.config.incarnation);
		member.child = this.spawn(member.config);
	}

	async stop(): Promise<void> {
		for (const { child } of this.members.values()) child.kill("SIGKILL");
		for (const server of this.servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	/** Makes all nodes request an admission of the same size at the same time. */
	admitTogether(team: string, size: Amount, runMs: number): void {
		const at = hostClockMs() + 4;
		for (const { child } of this.members.values()) this.send(child, { kind: "admit", team, size, runMs, at });
	}

	private send(child: ChildProcess, message: ParentMessage): void {
		if (child.connected) child.send(message, () => {});
	}

	// --- the store ---

	private async startStoreServer(node: string): Promise<string> {
		const server = createServer((request, response) => this.handleStoreRequest(node, request, response));
		this.servers.push(server);
		server.listen(0, "127.0.0.1");
		await once(server, "listening");
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	private async handleStoreRequest(
		node: string,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of request) chunks.push(chunk as Buffer);
		const text = Buffer.concat(chunks).toString();
		const body = text === "" ? undefined : JSON.parse(text);
		const answer = await this.state.handle(request.method ?? "GET", request.url ?? "/", body, node);
		if (request.url === "/multi" && answer.status === 200) this.recordWrites(body);
		if (request.url === "/multi" && Math.random() < this.lostAnswerRate) return void request.socket.destroy();
		response.writeHead(answer.status, { "content-type": "application/json" });
		response.end(JSON.stringify(answer.body));
	}

	/** Handles a store request of an operator's command. */
	async operatorCall(method: string, path: string, body: unknown) {
		const answer = await this.state.handle(method, path, body, "operator");
		if (path === "/multi" && answer.status === 200)
			this.recordWrites(body as { then: { put?: string; v?: unknown }[] });
		return answer;
	}

	/** Records the written limits in force, read from the packed arrays without code of the package. */
	private recordWrites(body: { then: { put?: string; v?: unknown }[] }): void {
		for (const { put, v } of body.then) {
			if (!put?.startsWith("r/quota/")) continue;
			this.storeWrites += 1;
			const { teams } = v as { teams: Record<string, { limit: [number, number, number, number] }> };
			for (const [team, { limit }] of Object.entries(teams)) {
				const [cpus, gpus, guaranteedCpus, guaranteedGpus] = limit;
				const before = this.lastCpuLimits.get(team);
				this.lastCpuLimits.set(team, cpus);
				if (team === "red" && before !== undefined && before !== cpus) this.redLimitChanges += 1;
				this.recorded.limitChanged({
					team,
					limit: [cpus, gpus],
					guarantee: [guaranteedCpus, guaranteedGpus],
				});
			}
		}
	}

	// --- workers and history ---

	private handleMessage(child: ChildProcess, message: NodeMessage): void {
		switch (message.kind) {
			case "leads":
				this.recorded.leaderReported(message.term);
				this.elections.push({ kind: "leads", at: message.at });
				this.send(child, { kind: "running", term: message.term, tasks: this.recorded.runningTasks });
				break;
			case "start":
				this.startTask(message.term, message.task);
				break;
			case "admitted":
				this.recorded.admitted(message.task, message.voidAt);
				break;
			case "void":
				this.recorded.dropped(message.ids, message.at);
				break;
			case "refused":
				this.recorded.refused(message.team, message.size, message.at);
				break;
			case "waited":
				this.waitsMs.push(message.ms);
		}
	}

	/** Starts a task; like a worker, refuses it from a leader of an earlier term. */
	private startTask(term: Uint64, task: QuotaTask): void {
		if (!this.recorded.started(term, task)) return;
		setTimeout(() => {
			this.recorded.ended(task.id);
			for (const { child } of this.members.values()) this.send(child, { kind: "ended", id: task.id });
		}, task.runMs);
	}

	/** Returns the delays from request to start at a worker, in milliseconds. */
	startDelaysMs(): number[] {
		return this.recorded.startDelaysMs;
	}

	get startedTaskCount(): number {
		return this.recorded.startedTaskCount;
	}

	history(): History {
		return this.recorded.build();
	}
}

async function freePort(): Promise<number> {
	const server = createTcpServer().listen(0, "127.0.0.1");
	await once(server, "listening");
	const { port } = server.address() as AddressInfo;
	server.close();
	await once(server, "close");
	return port;
}

/** The state service as an operator's command uses it. */
export function operatorStore(processes: QuotaProcesses): QuotaStore {
	const time = { now: () => performance.now(), date: () => new Date(), after: () => ({ cancel() {} }) };
	const http = {
		call: (method: string, path: string, body: unknown) => processes.operatorCall(method, path, body),
		close() {},
	};
	return quotaStore(
		new StoreClient({ http, clock: time, requestsPerS: 1000, writesPerS: 1000, controllers: 1 }),
	);
}
