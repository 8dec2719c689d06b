import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type Constraint, type Model, solve } from "yalps";
import { type Amount, nothing, plus, within } from "../src/amount.js";
import { anyShort, type HolderNeeds, planAllotments } from "../src/planner.js";

const amounts = (most: number) =>
	fc.record({ cpus: fc.nat(most), gpus: fc.nat(most) }, { noNullPrototype: true });
const holders = fc
	.array(
		fc.record({ held: amounts(4000), used: amounts(2000), wanted: amounts(6000) }, { noNullPrototype: true }),
		{
			minLength: 1,
			maxLength: 5,
		},
	)
	.map((needs) => needs.map((need, i): HolderNeeds => ({ node: `n${i}`, ...need })));

function totalOf(plan: Map<string, Amount>): Amount {
	return [...plan.values()].reduce(plus, nothing);
}

test("a plan allots the whole limit, and each holder at least what it uses", () => {
	fc.assert(
		fc.property(holders, amounts(12_000), (needs, ceiling) => {
			const plan = planAllotments(ceiling, needs);
			assert.deepEqual(totalOf(plan), ceiling);
			const used = needs.map((need) => need.used).reduce(plus, nothing);
			if (!within(used, ceiling)) return;
			for (const { node, used: mine } of needs) assert.ok(within(mine, plan.get(node) ?? nothing));
		}),
		{ seed: 7, numRuns: 500 },
	);
});

/** Returns the largest amount that all holders can have that request as much, found by a linear program. */
function fairLevel(limit: number, needs: { used: number; wanted: number }[]): number {
	const constraints: Record<string, Constraint> = { limit: { max: limit } };
	const variables: Record<string, Record<string, number>> = { level: { level: 1 } };
	needs.forEach(({ used, wanted }, i) => {
		variables[`x${i}`] = { limit: 1, [`use${i}`]: 1, [`want${i}`]: 1, [`fair${i}`]: 1 };
		constraints[`use${i}`] = { min: used };
		constraints[`want${i}`] = { max: Math.max(used, wanted) };
		// A holder gets at least the level or all that it requests; only holders that request more than they use
		// count.
		if (wanted > used) {
			constraints[`fair${i}`] = { min: 0 };
			(variables.level as Record<string, number>)[`fair${i}`] = -1;
		}
	});
	const most = Math.min(...needs.filter(({ used, wanted }) => wanted > used).map(({ wanted }) => wanted));
	constraints.level = { max: most };
	const model: Model = { direction: "maximize", objective: "level", constraints, variables };
	return solve(model).result;
}

test("the smallest share among holders that request more equals the optimum of a linear program", () => {
	fc.assert(
		fc.property(holders, fc.nat(12_000), (needs, limit) => {
			const plain = needs.map(({ used, wanted }) => ({ used: used.cpus, wanted: wanted.cpus }));
			const used = plain.reduce((sum, need) => sum + need.used, 0);
			if (used > limit || plain.every((need) => need.wanted <= need.used)) return;
			const plan = planAllotments({ cpus: limit, gpus: 0 }, needs);
			const served = needs
				.filter((need) => need.wanted.cpus > need.used.cpus)
				.map((need) => Math.min(need.wanted.cpus, plan.get(need.node)?.cpus ?? 0));
			const best = fairLevel(limit, plain);
			// Shares are whole thousandths, so they may differ from the program's by one.
			assert.ok(Math.abs(Math.min(...served) - best) <= 1, `${Math.min(...served)} of ${best}`);
		}),
		{ seed: 11, numRuns: 300 },
	);
});

test("an amount that no other holder requests stays with its holder", () => {
	const idle = { used: nothing, wanted: nothing };
	const needs: HolderNeeds[] = [
		{ node: "a", held: { cpus: 1000, gpus: 0 }, ...idle },
		{ node: "b", held: { cpus: 3000, gpus: 1000 }, used: { cpus: 500, gpus: 0 }, wanted: nothing },
	];
	const plan = planAllotments({ cpus: 4000, gpus: 1000 }, needs);
	assert.deepEqual(plan.get("a"), { cpus: 1000, gpus: 0 });
	assert.deepEqual(plan.get("b"), { cpus: 3000, gpus: 1000 });
	assert.equal(anyShort(needs, plan), false);
});
