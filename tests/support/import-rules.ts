import { readdirSync, readFileSync } from "node:fs";
import { dirname, posix } from "node:path";
import ts from "typescript";

/** The folders of `src` from which the modules of a folder may import, besides their own folder. */
export type ImportRules = Readonly<Record<string, readonly string[]>>;

/** Source text of modules by their path below `src`, with forward slashes. */
export type SourceTree = ReadonlyMap<string, string>;

/** Reads all modules below a folder, at any depth. */
export function readSourceTree(folder: URL): SourceTree {
	const files = readdirSync(folder, { recursive: true, encoding: "utf8" });
	const modules = files.filter((file) => file.endsWith(".ts"));
	return new Map(modules.map((file) => [file, readFileSync(new URL(file, folder), "utf8")]));
}

/** Returns every module specifier that the text imports or re-exports, types included. */
export function importsOf(text: string): string[] {
	return ts.preProcessFile(text, true, true).importedFiles.map(({ fileName }) => fileName);
}

const folderOf = (file: string): string => dirname(file).replaceAll("\\", "/");

/** Returns the folder of a relative import in the file; null for an import of a package. */
function importedFolder(file: string, specifier: string): string | null {
	if (!specifier.startsWith(".")) return null;
	return posix.dirname(posix.normalize(posix.join(folderOf(file), specifier)));
}

/** Returns each import that the rules do not permit, as "file imports folder", and each folder without a rule. */
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

/** Returns the folders, each after all folders that it may import; throws on cyclic rules. */
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
