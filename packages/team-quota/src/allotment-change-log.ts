/**
 * Groups the allotment changes of one write by holder and reason, since hundreds of teams may change
 * together.
 */
export class AllotmentChangeLog {
	private readonly entries = new Map<
		string,
		{ message: string; holder: string; reason: string | null; teams: string[] }
	>();

	add(message: string, holder: string, reason: string | null, team: string): void {
		const key = `${message}/${holder}/${reason}`;
		const entry = this.entries.get(key);
		if (entry) entry.teams.push(team);
		else this.entries.set(key, { message, holder, reason, teams: [team] });
	}

	/** Returns a log message with its fields for each holder and reason. */
	*lines(): Iterable<[string, object]> {
		for (const { message, holder, reason, teams } of this.entries.values())
			yield [message, { holder, ...(reason !== null && { reason }), teams }];
	}
}
