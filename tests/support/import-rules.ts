import { readdirSync, readFileSync } from "node:fs";
import { dirname, posix } from "node:path";
import ts from "typescript";

/** Which folders of `src` the modules of a folder may import from, beside their own. */
export type ImportRules = Readonly<Record<string, readonly string[]>>;

/** Source text of modules by their path below `src`, with forward slashes. */
export type SourceTree = ReadonlyMap<string, string>;

/** Reads all modules below a folder, at any depth. */
export function readSourceTree(folder: URL): SourceTree {
	const files = readdirSync(folder, { recursive: true, encoding: "utf8" });
	const modules = files.filter((file) => file.endsWith(".ts"));
	return new Map(modules.map((file) => [file, readFileSync(new URL(file, folder), "utf8")]));
}

/** Every module specifier that the text imports or re-exports, types included. */
export function importsOf(text: string): string[] {
	return ts.preProcessFile(text, true, true).importedFiles.map(({ fileName }) => fileName);
}

const folderOf = (file: string): string => dirname(file).replaceAll("\\", "/");

/** The folder that a relative import of the file leads to; null: the import is of a package. */
function importedFolder(file: string, specifier: string): string | null {
	if (!specifier.startsWith(".")) return null;
	return posix.dirname(posix.normalize(posix.join(folderOf(file), specifier)));
}

/** Each import that the rules do not permit, as "file imports folder". A folder without a rule is a violation too. */
export function forbiddenImports(tree: SourceTree, rules: ImportRules): string[] {
	const violations: string[] = [];
	for (const [file, text] of tree) {
		const folder = folderOf(file);
		const permitted = rules[folder];
		if (permitted === undefined) {
			violations.push(`${file}: no rule for folder ${folder}`);
			continue;
		}
		for (const specifier of importsOf(text)) {
			const target = importedFolder(file, specifier);
			if (target === null || target === folder || permitted.includes(target)) continue;
			violations.push(`${file} imports ${target}`);
		}
	}
	return violations;
}

/** The folders in an order in which each comes after all that it may import; throws where there is none. */
export function layeredOrder(rules: ImportRules): string[] {
	const order: string[] = [];
	const visit = (folder: string, path: readonly string[]): void => {
		if (path.includes(folder)) throw new Error(`cyclic imports: ${[...path, folder].join(" -> ")}`);
		if (order.includes(folder)) return;
		for (const imported of rules[folder] ?? []) visit(imported, [...path, folder]);
		order.push(folder);
	};
	for (const folder of Object.keys(rules)) visit(folder, []);
	return order;
}
