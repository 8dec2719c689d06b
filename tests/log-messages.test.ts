import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, test } from "node:test";
import ts from "typescript";
import { readSourceTree } from "./support/import-rules.js";

/**
 * Compares the tables of log messages in the operators' pages with the log calls of the sources. Without this check
 * the tables kept messages that the code had long replaced, so that operators searched the logs in vain.
 */

// Compiled tests run from target/tests/tests; the sources and pages stay in the source tree.
const root = new URL("../../../", import.meta.url);
const pages = ["docs/operations.md", "docs/team-quota-operations.md"];
const sourceFolders = ["src/", "packages/team-quota/src/"];

const levels = ["error", "info", "debug"];

/** Columns of the tables of present messages, and of those of messages that changed. */
const presentColumns = ["message", "level", "fields", "meaning"];
const changedColumns = ["old message", "message"];

interface LogCall {
	level: string;
	message: string;
	/** The names of the fields that are written out in the call. */
	fields: string[];
	/** File and line. */
	at: string;
}

interface TableRow {
	page: string;
	cells: string[];
}

const sources = new Map(
	sourceFolders.flatMap((folder) =>
		[...readSourceTree(new URL(folder, root))].map(([file, text]): [string, ts.SourceFile] => {
			const path = `${folder}${file.replaceAll("\\", "/")}`;
			return [path, ts.createSourceFile(path, text, ts.ScriptTarget.Latest, true)];
		}),
	),
);

function sourceOf(file: string): ts.SourceFile {
	const source = sources.get(file);
	assert.ok(source, `${file} does not exist: correct its name in tests/log-messages.test.ts`);
	return source;
}

/** All nodes of the file for which the function returns a result, as these results. */
function collect<T>(source: ts.SourceFile, select: (node: ts.Node) => T | undefined): T[] {
	const found: T[] = [];
	const visit = (node: ts.Node): void => {
		const result = select(node);
		if (result !== undefined) found.push(result);
		ts.forEachChild(node, visit);
	};
	visit(source);
	return found;
}

const literalText = (node: ts.Node | undefined): string | undefined =>
	node && ts.isStringLiteralLike(node) ? node.text : undefined;

/** The arguments and the method name of a call of a method. */
function methodCall(node: ts.Node): { name: string; args: readonly ts.Expression[] } | undefined {
	if (!ts.isCallExpression(node) || !ts.isPropertyAccessExpression(node.expression)) return undefined;
	return { name: node.expression.name.text, args: node.arguments };
}

/** The literals that are passed as the first argument of a method in the file. */
const firstArguments = (file: string, method: string): string[] =>
	collect(sourceOf(file), (node) => {
		const call = methodCall(node);
		return call?.name === method ? literalText(call.args[0]) : undefined;
	});

/** The literals to which a property is set in the file. */
const propertyValues = (file: string, property: string): string[] =>
	collect(sourceOf(file), (node) =>
		ts.isPropertyAssignment(node) && node.name.getText() === property
			? literalText(node.initializer)
			: undefined,
	);

/** The files with a log call whose message is a variable, and the messages that reach it. */
const passedOnMessages: Readonly<Record<string, () => string[]>> = {
	// The first argument of `AllotmentChangeLog.add`.
	"packages/team-quota/src/allotment-writer.ts": () =>
		firstArguments("packages/team-quota/src/allotment-writer.ts", "add"),
	// The field `message` of a `QuotaDifference`.
	"packages/team-quota/src/manager.ts": () =>
		propertyValues("packages/team-quota/src/charge-verification.ts", "message"),
};

function messagesOf(argument: ts.Expression | undefined, file: string, at: string): string[] {
	const literal = literalText(argument);
	if (literal !== undefined) return [literal];
	const messages = passedOnMessages[file]?.() ?? [];
	assert.ok(
		messages.length > 0,
		`${at}: the log message is no string literal: name where it comes from in tests/log-messages.test.ts`,
	);
	return messages;
}

/** The names in an object literal. Fields that come from a spread or a variable are not included. */
function fieldNames(fields: ts.Expression | undefined): string[] {
	if (!fields || !ts.isObjectLiteralExpression(fields)) return [];
	return fields.properties.flatMap(({ name }) => (name ? [name.getText()] : []));
}

/** The log calls of one file. The loggers' methods take the fields and the message; `error` of commander takes one argument. */
function logCallsIn(file: string, source: ts.SourceFile): LogCall[] {
	return collect(source, (node) => {
		const call = methodCall(node);
		if (!call || !levels.includes(call.name) || call.args.length < 2) return undefined;
		const at = `${file}:${source.getLineAndCharacterOfPosition(node.getStart()).line + 1}`;
		const fields = fieldNames(call.args[0]);
		return messagesOf(call.args[1], file, at).map((message) => ({ level: call.name, message, fields, at }));
	}).flat();
}

const logCalls = [...sources].flatMap(([file, source]) => logCallsIn(file, source));

const cellsOf = (line: string): string[] =>
	line
		.split("|")
		.slice(1, -1)
		.map((cell) => cell.trim());

/** The texts in backquotes of a cell. */
const quotedIn = (cell: string | undefined): string[] =>
	[...(cell ?? "").matchAll(/`([^`]+)`/g)].map(([, text]) => text as string);

/** The rows of all tables with these columns in a page. */
function rowsOf(page: string, columns: readonly string[]): TableRow[] {
	const rows: TableRow[] = [];
	let inTable = false;
	for (const line of readFileSync(new URL(page, root), "utf8").split("\n")) {
		const cells = line.startsWith("|") ? cellsOf(line) : [];
		if (cells.join("|") === columns.join("|")) inTable = true;
		else if (cells.length === 0) inTable = false;
		else if (inTable && !/^[-:]+$/.test(cells[0] as string)) rows.push({ page, cells });
	}
	return rows;
}

const allRows = (columns: readonly string[]): TableRow[] => pages.flatMap((page) => rowsOf(page, columns));

const documented = allRows(presentColumns).flatMap(({ page, cells }) =>
	quotedIn(cells[0]).map((message) => ({
		page,
		message,
		level: cells[1] as string,
		fields: quotedIn(cells[2]),
	})),
);

const loggedMessages = new Set(logCalls.map(({ message }) => message));

describe("log messages in the operators' pages", () => {
	test("each logged message stands in a table with the level at which it is logged", () => {
		assert.ok(logCalls.length > 70, `only ${logCalls.length} log calls were found`);
		const rows = new Set(documented.map(({ level, message }) => `${level} ${message}`));
		const missing = logCalls
			.filter(({ level, message }) => !rows.has(`${level} ${message}`))
			.map(({ level, message, at }) => `${at}: no row "${message}" with level ${level}`);
		assert.deepEqual(missing, [], `add or correct these rows in ${pages.join(" or ")}`);
	});

	test("each message in a table is logged by the code at the level of its row", () => {
		const logged = new Set(logCalls.map(({ level, message }) => `${level} ${message}`));
		const outdated = documented
			.filter(({ level, message }) => !logged.has(`${level} ${message}`))
			.map(({ level, message, page }) => `${page}: no log call has "${message}" with level ${level}`);
		assert.deepEqual(outdated, [], "correct or remove these rows");
	});

	test("each field that a log call writes out stands in the row of its message", () => {
		const fieldsOf = new Map(documented.map(({ message, fields }) => [message, fields]));
		const missing = logCalls.flatMap(({ message, fields, at }) =>
			fields
				.filter((field) => !fieldsOf.get(message)?.includes(field))
				.map((field) => `${at}: the row "${message}" lacks the field ${field}`),
		);
		assert.deepEqual(missing, [], "add or correct these fields");
	});

	test("each message stands in one row only", () => {
		const messages = documented.map(({ message }) => message);
		const repeated = messages.filter((message, index) => messages.indexOf(message) !== index);
		assert.deepEqual(repeated, []);
	});

	test("messages that changed: the old ones are no longer logged, and their replacements are", () => {
		const rows = allRows(changedColumns);
		assert.ok(rows.length > 0, "no table of messages that changed");
		const wrong = rows.flatMap(({ page, cells }) => [
			...quotedIn(cells[0])
				.filter((message) => loggedMessages.has(message))
				.map((message) => `${page}: "${message}" is listed as old but still logged`),
			...quotedIn(cells[1])
				.filter((message) => !loggedMessages.has(message))
				.map((message) => `${page}: "${message}" is listed as a replacement but not logged`),
		]);
		assert.deepEqual(wrong, []);
	});
});
