/**
 * Runs stand-ins in a separate process: `node dist/standins.cjs --spec FILE`. The YAML file lists the stand-ins; a
 * control port serves `POST /control` and `GET /log?standin=NAME`. Prints `ready ADDRESS` with the address of the
 * control port as soon as all stand-ins listen.
 */
import * as commander from "commander";
import * as fs from "node:fs";
import * as http from "node:http";
import * as yaml from "yaml";
import * as z from "zod";
import * as configurationServices from "./ConfigurationServiceStandIn";
import * as engines from "./EngineStandIn";
import * as standIns from "./HttpStandIn";
import * as instanceLists from "./InstanceListStandIn";
import * as plainServices from "./PlainServiceStandIn";
import * as weightStores from "./WeightStoreStandIn";

const specSchema = z.strictObject({
    controlPort: z.int().min(0),
    standIns: z.array(z.strictObject({
        name: z.string(),
        kind: z.enum(["configuration", "instances", "weights", "plain", "engine"]),
        /** Listening port and the options of this kind of stand-in. */
        options: z.record(z.string(), z.unknown()).default({}),
    })),
});

const controlSchema = z.strictObject({
    standin: z.string(),
    /** `faults` replaces all faults, `publishFile` publishes a YAML file, the others call the method of that name. */
    action: z.enum(["faults", "publishFile", "publish", "set", "restart", "stop", "start", "cutConnections"]),
    arguments: z.array(z.unknown()).default([]),
});

/** Functions that create and start the stand-ins, by kind. */
const listenByKind = {
    configuration: configurationServices.ConfigurationServiceStandIn.listen,
    instances: instanceLists.InstanceListStandIn.listen,
    weights: weightStores.WeightStoreStandIn.listen,
    plain: plainServices.PlainServiceStandIn.listen,
    engine: engines.EngineStandIn.listen,
};

/** Serves the control port. */
class ControlServer extends standIns.HttpStandIn {
    readonly standInsByName = new Map<string, standIns.HttpStandIn>();

    constructor() {
        super();
    }

    override describe(): Record<string, unknown> {
        return Object.fromEntries([...this.standInsByName].map(([name, standIn]) => [name, standIn.describe()]));
    }

    protected override async handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        if (incoming.path === "/log") {
            const standIn = this.standInsByName.get(incoming.query.get("standin") ?? "");
            const body = standIn && { address: standIn.address, ...standIn.describe() };
            standIns.sendJson(response, body === undefined ? 404 : 200, body);
            return;
        }
        const parsed = controlSchema.safeParse(incoming.body);
        if (incoming.path !== "/control" || !parsed.success) {
            standIns.sendJson(response, 400, { error: parsed.error?.message ?? incoming.path });
            return;
        }
        await this.apply(parsed.data, response);
    }

    private async apply(command: z.infer<typeof controlSchema>, response: http.ServerResponse): Promise<void> {
        const standIn = this.standInsByName.get(command.standin);
        if (standIn === undefined) {
            standIns.sendJson(response, 404, { error: command.standin });
            return;
        }
        if (command.action === "faults") {
            standIn.faults = (command.arguments[0] ?? {}) as standIns.Faults;
            standIns.sendJson(response, 200, {});
            return;
        }
        if (command.action === "publishFile" && standIn instanceof configurationServices.ConfigurationServiceStandIn) {
            standIn.publish(readYaml(String(command.arguments[0])));
            standIns.sendJson(response, 200, {});
            return;
        }
        const method: unknown = Reflect.get(standIn, command.action);
        if (typeof method !== "function") {
            standIns.sendJson(response, 400, { error: command.action });
            return;
        }
        await Reflect.apply(method, standIn, command.arguments);
        standIns.sendJson(response, 200, {});
    }
}

function readYaml(file: string): unknown {
    return yaml.parse(fs.readFileSync(file, "utf8"));
}

/** Replaces the option `documentFile`, the path of a YAML file, by the option `document` with its content. */
function resolveOptions({ documentFile, ...options }: Record<string, unknown>): standIns.ListenOptions {
    return documentFile === undefined ? options : { ...options, document: readYaml(String(documentFile)) } as object;
}

async function run(file: string): Promise<void> {
    const spec = specSchema.parse(readYaml(file));
    const controlServer = new ControlServer();
    for (const { name, kind, options } of spec.standIns) {
        controlServer.standInsByName.set(name, await listenByKind[kind](resolveOptions(options)));
    }
    await controlServer.start(spec.controlPort);
    console.log(`ready ${controlServer.address}`);
    process.once("SIGTERM", () => process.exit(0));
}

void new commander.Command("standins")
    .requiredOption("--spec <file>", "YAML file that lists the stand-ins")
    .action((options: { spec: string }) => run(options.spec))
    .parseAsync();
