import type { QuotaStore, QuotaWriteResult, StoredChange, StoredCondition } from "../../src/stored-values.js";

interface PendingWrite {
	changes: StoredChange[];
	/** Applies the write and returns the result to the writer. */
	sendResult(): Promise<void>;
	/** Fails the write without an answer; a test may still apply it later. */
	failWithoutAnswer(): Promise<void>;
	apply(): QuotaWriteResult;
}

/** A store whose writes wait until the test decides their results. */
export class ControlledStore implements QuotaStore {
	/** Contains the leader's key from the start, since tests begin with a leader of term 1. */
	readonly rowsByKey = new Map<string, { value: unknown; revision: number }>([
		["leader", { value: "a", revision: 1 }],
	]);
	readonly writes: PendingWrite[] = [];
	revision = 1;
	/** True: writes are applied and answered at once. */
	answersImmediately = true;

	transact(conditions: StoredCondition[], changes: StoredChange[]): Promise<QuotaWriteResult> {
		return new Promise((resolve, reject) => {
			const apply = () => this.apply(conditions, changes);
			const write: PendingWrite = {
				changes,
				apply,
				sendResult: () => runAndSettle(() => resolve(apply())),
				failWithoutAnswer: () => runAndSettle(() => reject(new Error("no answer"))),
			};
			this.writes.push(write);
			if (this.answersImmediately) resolve(apply());
		});
	}

	private apply(conditions: StoredCondition[], changes: StoredChange[]): QuotaWriteResult {
		const keys = conditions
			.filter(({ key, revision }) => (this.rowsByKey.get(key)?.revision ?? 0) !== revision)
			.map(({ key }) => key);
		if (keys.length > 0) return { kind: "conflict", keys };
		this.revision += 1;
		for (const { key, value } of changes) this.rowsByKey.set(key, { value, revision: this.revision });
		return { kind: "written", revision: this.revision };
	}

	async read(key: string) {
		const row = this.rowsByKey.get(key);
		return row ? { key, ...row } : null;
	}

	async readPrefix(prefix: string) {
		const rows = [...this.rowsByKey].map(([key, row]) => ({ key, ...row }));
		return rows.filter(({ key }) => key.startsWith(prefix));
	}
}

/** Calls the function, then waits until the continuations of promises resolved by it have run. */
export async function runAndSettle(act: () => void = () => {}): Promise<void> {
	act();
	for (let i = 0; i < 12; i++) await Promise.resolve();
}
