/**
 * Determines which idempotency keys an agent may serve: those whose home it is under the version in force, after
 * the handover from previous homes is completed and while the agent's key lease is valid.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as nodes from "../membership/Node";
import * as homeClaims from "./HomeClaim";
import * as keyLeases from "./KeyLease";
import * as confirmations from "./VersionConfirmation";

/** Options of the key ownership of an agent. */
export interface KeyOwnershipOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly node: nodes.Node;
    readonly service: string;
    readonly slot: string;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
}

/** Tracks the published slots and the platform's instance list, and checks keys against them. */
export class KeyOwnership implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly homeClaim: homeClaims.HomeClaim;

    constructor(private readonly options: KeyOwnershipOptions) {
        const { clock, log, node, slot, lifetimeMs } = options;
        const versionConfirmation = new confirmations.VersionConfirmation({
            clock,
            findMember: instance => node.membership.find(instance),
            createContext: () => node.createPeerContext(),
        });
        this.homeClaim = this.disposables.add(
            new homeClaims.HomeClaim({
                clock,
                slot,
                lifetimeMs,
                confirm: (instance, version, sinceVersion) =>
                    versionConfirmation.confirm(instance, version, sinceVersion),
                onAlarm: failure =>
                    log.warn({ code: failure.code.code, detail: failure.detail }, "key handover problem"),
            }),
        );
        this.disposables.add(node.replica.onVersion(() => this.updateHomeClaim()));
        this.disposables.add(node.membership.onChange(() => this.updateHomeClaim()));
        this.disposables.add(node.listReader.onList(() => this.updateHomeClaim()));
    }

    /** Version since which the slots are unchanged; undefined before the first update. */
    get slotsVersion(): number | undefined {
        return this.homeClaim.slotsVersion;
    }

    /** Returns why calls with `key` are rejected; undefined if they may run. */
    checkKey(key: string): codes.Failure | undefined {
        return this.checkLease() ?? this.homeClaim.checkKey(key);
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private get slots(): string[] {
        const configuration = this.options.node.replica.current?.configuration;
        return Object.keys(configuration?.services[this.options.service]?.slots ?? {});
    }

    private updateHomeClaim(): void {
        const { node, service } = this.options;
        // Without the instance list all other agents would appear to be gone.
        if (node.isReady) {
            this.homeClaim.update(node.replica.version, this.slots, node.membership.agentNames(service));
        }
    }

    private checkLease(): codes.Failure | undefined {
        const { membership, replica } = this.options.node;
        const { service, slot } = this.options;
        return keyLeases.checkKeyLease({
            unconfirmedMs: replica.unconfirmedMs,
            listAgeMs: membership.listAgeMs,
            otherInstances: [...this.slots, ...membership.agentNames(service)].filter(other => other !== slot),
            isConnected: other => membership.find(other)?.connected ?? false,
        });
    }
}
