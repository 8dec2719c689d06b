/** Moves of one write, gathered: hundreds of teams may move together, for one reason. */
export class MoveLog {
	private readonly moves = new Map<
		string,
		{ message: string; holder: string; reason: string | null; teams: string[] }
	>();

	add(message: string, holder: string, reason: string | null, team: string): void {
		const key = `${message}/${holder}/${reason}`;
		const known = this.moves.get(key);
		if (known) known.teams.push(team);
		else this.moves.set(key, { message, holder, reason, teams: [team] });
	}

	/** A message and its fields for each holder and reason. */
	*lines(): Iterable<[string, object]> {
		for (const { message, holder, reason, teams } of this.moves.values())
			yield [message, { holder, ...(reason !== null && { reason }), teams }];
	}
}
