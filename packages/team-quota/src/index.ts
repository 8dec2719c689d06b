/** Team limits and guarantees that are enforced across all controllers. */
export {
	type Amount,
	addAmounts,
	demandAmount,
	limitAmount,
	toUnits,
	unlimited,
	zeroAmount,
} from "./amount.js";
export {
	type ShownQuotas,
	type ShownTeam,
	setQuota,
	showQuotas,
	UnknownTeamError,
	WriteConflictError,
} from "./commands.js";
export { LimitChangeError, type LimitRequest } from "./limit-change.js";
export type { AllotmentManager } from "./manager.js";
export {
	QuotaParticipant,
	type QuotaParticipantOptions,
	type QuotaParticipantSettings,
} from "./quota-participant.js";
export { LeaderQuota, QuotaService } from "./quota-service.js";
export type { LimitAndGuarantee } from "./record.js";
export type {
	QuotaRow,
	QuotaStore,
	QuotaWriteResult,
	StoredChange,
	StoredCondition,
} from "./stored-values.js";
