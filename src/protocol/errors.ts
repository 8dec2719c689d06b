/** The errors of the service. Each message names the object and its fault. */

/** Base class of all errors that the service throws itself. */
export class RamphubError extends Error {
	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** A received message does not have the published form. The error text names the field and what is expected. */
export class MalformedMessageError extends RamphubError {}

/** A settings file that cannot be used. The message names the file, the field and what is expected. */
export class SettingsError extends RamphubError {}
