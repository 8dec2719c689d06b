export interface Log {
	error(fields: object, message: string): void;
	info(fields: object, message: string): void;
	debug(fields: object, message: string): void;
}
