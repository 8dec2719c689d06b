import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type Constraint, type Model, solve } from "yalps";
import { type Amount, addAmounts, fitsWithin, zeroAmount } from "../src/amount.js";
import { anyBelowTarget, type HolderDemand, planAllotments } from "../src/planner.js";

const amountsUpTo = (max: number) =>
	fc.record({ cpus: fc.nat(max), gpus: fc.nat(max) }, { noNullPrototype: true });
const holderDemands = fc
	.array(
		fc.record(
			{ held: amountsUpTo(4000), used: amountsUpTo(2000), requested: amountsUpTo(6000) },
			{ noNullPrototype: true },
		),
		{
			minLength: 1,
			maxLength: 5,
		},
	)
	.map((demands) => demands.map((demand, i): HolderDemand => ({ node: `n${i}`, ...demand })));

function totalPlanned(plan: Map<string, Amount>): Amount {
	return [...plan.values()].reduce(addAmounts, zeroAmount);
}

test("a plan allots the whole limit, and each holder at least what it uses", () => {
	fc.assert(
		fc.property(holderDemands, amountsUpTo(12_000), (demands, ceiling) => {
			const plan = planAllotments(ceiling, demands);
			assert.deepEqual(totalPlanned(plan), ceiling);
			const used = demands.map((demand) => demand.used).reduce(addAmounts, zeroAmount);
			if (!fitsWithin(used, ceiling)) return;
			for (const { node, used: ownUse } of demands)
				assert.ok(fitsWithin(ownUse, plan.get(node) ?? zeroAmount));
		}),
		{ seed: 7, numRuns: 500 },
	);
});

/** Returns the largest amount that all holders can have that request as much, found by a linear program. */
function fairLevel(limit: number, demands: { used: number; requested: number }[]): number {
	const constraints: Record<string, Constraint> = { limit: { max: limit } };
	const variables: Record<string, Record<string, number>> = { level: { level: 1 } };
	demands.forEach(({ used, requested }, i) => {
		variables[`x${i}`] = { limit: 1, [`use${i}`]: 1, [`want${i}`]: 1, [`fair${i}`]: 1 };
		constraints[`use${i}`] = { min: used };
		constraints[`want${i}`] = { max: Math.max(used, requested) };
		// A holder gets at least the level or all that it requests; only holders that request more than they use
		// count.
		if (requested > used) {
			constraints[`fair${i}`] = { min: 0 };
			(variables.level as Record<string, number>)[`fair${i}`] = -1;
		}
	});
	const maxLevel = Math.min(
		...demands.filter(({ used, requested }) => requested > used).map(({ requested }) => requested),
	);
	constraints.level = { max: maxLevel };
	const model: Model = { direction: "maximize", objective: "level", constraints, variables };
	return solve(model).result;
}

test("the smallest share among holders that request more equals the optimum of a linear program", () => {
	fc.assert(
		fc.property(holderDemands, fc.nat(12_000), (demands, limit) => {
			const cpuDemands = demands.map(({ used, requested }) => ({
				used: used.cpus,
				requested: requested.cpus,
			}));
			const used = cpuDemands.reduce((sum, demand) => sum + demand.used, 0);
			if (used > limit || cpuDemands.every((demand) => demand.requested <= demand.used)) return;
			const plan = planAllotments({ cpus: limit, gpus: 0 }, demands);
			const shares = demands
				.filter((demand) => demand.requested.cpus > demand.used.cpus)
				.map((demand) => Math.min(demand.requested.cpus, plan.get(demand.node)?.cpus ?? 0));
			const best = fairLevel(limit, cpuDemands);
			// Shares are whole thousandths, so they may differ from the program's by one.
			assert.ok(Math.abs(Math.min(...shares) - best) <= 1, `${Math.min(...shares)} of ${best}`);
		}),
		{ seed: 11, numRuns: 300 },
	);
});

test("an amount that no other holder requests stays with its holder", () => {
	const idle = { used: zeroAmount, requested: zeroAmount };
	const demands: HolderDemand[] = [
		{ node: "a", held: { cpus: 1000, gpus: 0 }, ...idle },
		{ node: "b", held: { cpus: 3000, gpus: 1000 }, used: { cpus: 500, gpus: 0 }, requested: zeroAmount },
	];
	const plan = planAllotments({ cpus: 4000, gpus: 1000 }, demands);
	assert.deepEqual(plan.get("a"), { cpus: 1000, gpus: 0 });
	assert.deepEqual(plan.get("b"), { cpus: 3000, gpus: 1000 });
	assert.equal(anyBelowTarget(demands, plan), false);
});
