/**
 * Events: the owner keeps the emitter private and exposes only its `event`, under a name of the form `onX`.
 */
import * as clocks from "./Clock";

/** Registers a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => clocks.Disposable;

/** Holds listeners and calls them in the order of registration. */
export class Emitter<T> implements clocks.Disposable {
    private listeners: ((value: T) => void)[] = [];

    /** Registers listeners; can be exposed without the right to fire. */
    readonly event: Event<T> = listener => {
        this.listeners = [...this.listeners, listener];
        return { dispose: () => this.remove(listener) };
    };

    /** Calls every listener with `value`. */
    fire(value: T): void {
        for (const listener of this.listeners) {
            listener(value);
        }
    }

    dispose(): void {
        this.listeners = [];
    }

    private remove(listener: (value: T) => void): void {
        this.listeners = this.listeners.filter(other => other !== listener);
    }
}

/** Disposes a group of disposables in the reverse order of registration. */
export class DisposableStore implements clocks.Disposable {
    private items: clocks.Disposable[] = [];

    /** Registers `item` and returns it. */
    add<T extends clocks.Disposable>(item: T): T {
        this.items.push(item);
        return item;
    }

    dispose(): void {
        for (const item of this.items.splice(0).reverse()) {
            item.dispose();
        }
    }
}
