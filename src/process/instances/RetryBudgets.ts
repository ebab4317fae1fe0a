/**
 * The retry budgets of all services that a process sends calls to.
 */
import * as clocks from "../../common/Clock";
import * as settingsShapes from "../../common/Settings";
import * as fleetSizes from "../shares/FleetSize";
import * as budgets from "./ServiceRetryBudget";

const MS_PER_SECOND = 1_000;

/** Creates the budget of each service at its first use. */
export class RetryBudgets {
    private readonly byService = new Map<string, budgets.ServiceRetryBudget>();

    constructor(
        private readonly clock: clocks.Clock,
        private readonly settings: () => settingsShapes.RouteEntrySettings["repeats"],
        /** The entries that share the slack. */
        private readonly fleet: fleetSizes.Fleet,
    ) {}

    /** Retries of all services within their windows. */
    get retries(): number {
        return this.sum(({ retries }) => retries);
    }

    /** Retries that may be sent now, of all services. */
    get left(): number {
        return this.sum(({ left }) => left);
    }

    /** Retries that may be saved now, of all services. */
    get capacity(): number {
        return this.sum(({ capacity }) => capacity);
    }

    /** Finds or creates the budget of a service. */
    obtain(service: string): budgets.ServiceRetryBudget {
        let budget = this.byService.get(service);
        if (budget === undefined) {
            const bound = (): budgets.RetryBound => {
                const { ratio, slack, windowSeconds } = this.settings();
                return { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
            };
            budget = new budgets.ServiceRetryBudget(this.clock, service, bound, this.fleet);
            this.byService.set(service, budget);
        }
        return budget;
    }

    private sum(read: (state: budgets.BudgetState) => number): number {
        return [...this.byService.values()].reduce((sum, { state }) => sum + read(state), 0);
    }
}
