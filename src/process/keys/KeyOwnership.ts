/**
 * Which idempotency keys an agent may serve: those of which it is the home under the version in force, after the
 * handover from earlier homes, while its own lease on them holds.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as nodes from "../membership/Node";
import * as keyHandovers from "./KeyHandover";
import * as keyLeases from "./KeyLease";
import * as confirmations from "./VersionConfirmation";

/** What the keys need from their agent. */
export interface KeyOwnershipOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly node: nodes.Node;
    readonly service: string;
    readonly slot: string;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
}

/** Follows the published slots and the platform's list, and decides on each key. */
export class KeyOwnership implements clocks.Disposable {
    private readonly store = new emitters.DisposableStore();
    private readonly handover: keyHandovers.KeyHandover;

    constructor(private readonly options: KeyOwnershipOptions) {
        const { clock, log, node, slot, lifetimeMs } = options;
        const versionConfirmation = new confirmations.VersionConfirmation({
            clock,
            findMember: instance => node.membership.find(instance),
            createContext: () => node.createPeerContext(),
        });
        this.handover = this.store.add(
            new keyHandovers.KeyHandover({
                clock,
                slot,
                lifetimeMs,
                confirm: (instance, version, sinceVersion) =>
                    versionConfirmation.confirm(instance, version, sinceVersion),
                onAlarm: failure => log.warn({ code: failure.code.code, detail: failure.detail }, "home claim"),
            }),
        );
        this.store.add(node.replica.onVersion(() => this.updateHandover()));
        this.store.add(node.membership.onChange(() => this.updateHandover()));
        this.store.add(node.list.onList(() => this.updateHandover()));
    }

    /** Version since which the slots are known to be the same; undefined before the first. */
    get slotsVersion(): number | undefined {
        return this.handover.slotsVersion;
    }

    /** Why calls with `key` are refused here now; undefined when they may run. */
    checkKey(key: string): codes.Failure | undefined {
        return this.checkLease() ?? this.handover.checkKey(key);
    }

    dispose(): void {
        this.store.dispose();
    }

    private get slots(): string[] {
        const configuration = this.options.node.replica.current?.configuration;
        return Object.keys(configuration?.services[this.options.service]?.slots ?? {});
    }

    private updateHandover(): void {
        const { node, service } = this.options;
        // Without the list every other agent would look gone.
        if (node.isReady) {
            this.handover.update(node.replica.version, this.slots, node.membership.listed(service));
        }
    }

    private checkLease(): codes.Failure | undefined {
        const { membership, replica } = this.options.node;
        const { service, slot } = this.options;
        return keyLeases.checkKeyLease({
            unconfirmedMs: replica.unconfirmedMs,
            listAgeMs: membership.listAgeMs,
            otherInstances: [...this.slots, ...membership.listed(service)].filter(other => other !== slot),
            isConnected: other => membership.find(other)?.connected ?? false,
        });
    }
}
