/** Team limits and guarantees that are enforced across all controllers. */
export { type Amount, demandAmount, inUnits, limitAmount, nothing, plus, unlimited } from "./amount.js";
export {
	ContendedError,
	type ShownQuotas,
	type ShownTeam,
	setQuota,
	showQuotas,
	UnknownTeamError,
} from "./commands.js";
export { LimitChangeError, type LimitRequest } from "./limit-change.js";
export type { AllotmentManager } from "./manager.js";
export { LeaderQuota, QuotaService } from "./quota-service.js";
export type { LimitTerms } from "./record.js";
export type {
	QuotaRow,
	QuotaStore,
	QuotaWriteResult,
	StoredChange,
	StoredCondition,
} from "./stored-values.js";
export { TeamQuota, type TeamQuotaOptions, type TeamQuotaSettings } from "./team-quota.js";
