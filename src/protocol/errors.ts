/** The errors of the service. Each says in its message what went wrong with what. */

/** Base class of all errors that the service throws by itself. */
export class RamphubError extends Error {
	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** What was received does not have the published form. The message names the field and what is expected. */
export class MalformedMessageError extends RamphubError {}

/** A settings file that cannot be used. The message names the file, the field and what is expected. */
export class SettingsError extends RamphubError {}
