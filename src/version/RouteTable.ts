/**
 * Index of one version of the routing configuration: routes by host and path, teams by API key, services by name.
 */
import * as routing from "../common/Routing";

/** Looks up the route, team and services of a call in one published version. */
export class RouteTable {
    private readonly routesByHost = new Map<string, routing.Route[]>();
    private readonly teamsByKey = new Map<string, routing.RoutedTeam>();
    private readonly servicesByName = new Map<string, routing.RoutedService>();

    constructor(readonly configuration: routing.RoutingConfiguration) {
        for (const route of configuration.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((a, b) => b.prefix.length - a.prefix.length);
        }
        for (const team of configuration.teams ?? []) {
            team.keys.forEach(key => this.teamsByKey.set(key, team));
        }
        configuration.services.forEach(service => this.servicesByName.set(service.name, service));
    }

    /** Finds the route of `host` with the longest prefix of `path`; undefined if none matches. */
    findRoute(host: string, path: string): routing.Route | undefined {
        return this.routesByHost.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix));
    }

    /** Finds the team with the API key `key`; undefined for an unknown key. */
    findTeam(key: string | undefined): routing.RoutedTeam | undefined {
        return key === undefined ? undefined : this.teamsByKey.get(key);
    }

    /** Finds a service by its name; undefined if it isn't published. */
    findService(name: string): routing.RoutedService | undefined {
        return this.servicesByName.get(name);
    }

    /** Whether calls need an API key, except on public routes. */
    get needsKeys(): boolean {
        return this.configuration.teams !== undefined;
    }
}

function normalizeHost(host: string): string {
    return host.toLowerCase().replace(/:\d*$/, "");
}
