/**
 * Parses the command line and runs the subcommand.
 *
 * @module
 */
import type { Argv } from "yargs";
import yargs from "yargs";
import { COMMANDS } from "./commands/mod.ts";
import { readNamedFile, UsageError } from "./ctl_command.ts";
import type {
  CtlArguments,
  CtlCommand,
  CtlContext,
  CtlEnvironment,
} from "./ctl_command.ts";
import { EXIT_CODE_HELP, EXIT_CODES } from "./exit_codes.ts";
import type { ExitCode } from "./exit_codes.ts";
import { createOperatorClient } from "./operator_client.ts";

/** Name of the binary. */
const PROGRAM = "dotterelmoor-ctl";

/** Environment variables that are used if the flag is absent. */
const ENVIRONMENT_VARIABLES = {
  "operator-url": "DOTTERELMOOR_CTL_URL",
  "token-file": "DOTTERELMOOR_CTL_TOKEN_FILE",
} as const;

const GLOBAL_FLAGS = {
  "operator-url": {
    type: "string",
    describe: `URL of the operators' listener of an entry (${
      ENVIRONMENT_VARIABLES["operator-url"]
    })`,
    requiresArg: true,
  },
  "token-file": {
    type: "string",
    describe: `File with the operator's token (${
      ENVIRONMENT_VARIABLES["token-file"]
    })`,
    requiresArg: true,
  },
  json: { type: "boolean", describe: "Print JSON" },
} as const;

/** Runs the command line with the given arguments and returns its exit code. */
export async function runCtl(
  argv: readonly string[],
  environment: CtlEnvironment,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.ok;
  const program = buildProgram(async (command, args) => {
    exitCode = await command.handler(args, makeContext(args, environment));
  });
  try {
    const output = await runProgram(program, argv);
    if (output !== "") environment.writeOut(output);
    return exitCode;
  } catch (error) {
    if (error instanceof UsageError) {
      environment.writeError(`${error.message}\nhint: ${error.hint}`);
      return EXIT_CODES.usageError;
    }
    environment.writeError(`The command failed: ${String(error)}`);
    return EXIT_CODES.unreachable;
  }
}

type RunCommand = (command: CtlCommand, args: CtlArguments) => Promise<void>;

function buildProgram(run: RunCommand): Argv {
  const program = yargs()
    .scriptName(PROGRAM)
    .usage("$0 <command>")
    .parserConfiguration({
      "camel-case-expansion": false,
      "duplicate-arguments-array": false,
      "greedy-arrays": false,
      "parse-positional-numbers": false,
    })
    .options(GLOBAL_FLAGS)
    .epilogue(EXIT_CODE_HELP)
    .demandCommand(1, "Specify a command")
    .strict()
    .exitProcess(false)
    .version(false)
    .locale("en")
    .wrap(80)
    .fail((message, error) => {
      // The parser throws YErrors; any other error comes from a handler.
      if (error && error.name !== "YError") throw error;
      throw new UsageError(
        message || error.message,
        `Run ${PROGRAM} --help`,
      );
    });
  return COMMANDS.reduce(
    (built, command) => addCommand(built, { command, run }),
    program as Argv,
  );
}

function addCommand(
  program: Argv,
  options: { readonly command: CtlCommand; readonly run: RunCommand },
): Argv {
  const { command, run } = options;
  return program.command(
    [...command.names],
    command.help,
    (builder) => {
      const positionals = command.names[0]!.match(/(?<=[<[])[a-z]+/g) ?? [];
      let built = builder.options({ ...command.flags });
      for (const name of positionals) {
        built = built.positional(name, { type: "string" });
      }
      for (const [example, effect] of command.examples) {
        built = built.example(`$0 ${example}`, effect);
      }
      return built;
    },
    (args) => run(command, args),
  );
}

/** Parses the arguments and runs the handler; resolves to the help, if any. */
function runProgram(
  program: Argv,
  argv: readonly string[],
): Promise<string> {
  return new Promise((resolve, reject) => {
    let help = "";
    Promise.resolve(
      program.parseAsync([...argv], {}, (error, _args, output) => {
        if (error) reject(error);
        help = output;
      }),
    ).then(() => resolve(help), reject);
  });
}

function makeContext(
  args: CtlArguments,
  environment: CtlEnvironment,
): CtlContext {
  return {
    ...environment,
    json: args.json === true,
    openClient: () => {
      const url = getSetting(args, { name: "operator-url", environment });
      const file = getSetting(args, { name: "token-file", environment });
      if (!URL.canParse(url) || !/^https?:/.test(url)) {
        throw new UsageError(
          `Setting operator-url has ${url}, expected a URL with http or https`,
          "Use the operators' listener of an entry, such as http://10.0.0.7:7003",
        );
      }
      const token = readNamedFile(environment, file).trim();
      if (!/^[\x21-\x7e]+$/.test(token)) {
        throw new UsageError(
          `File ${file} holds no token`,
          "Write only the token to the file",
        );
      }
      return createOperatorClient({ url, token });
    },
  };
}

function getSetting(
  args: CtlArguments,
  options: {
    readonly name: keyof typeof ENVIRONMENT_VARIABLES;
    readonly environment: CtlEnvironment;
  },
): string {
  const { name, environment } = options;
  const value = args[name] ?? environment.env[ENVIRONMENT_VARIABLES[name]];
  if (typeof value === "string" && value !== "") return value;
  throw new UsageError(
    `Setting ${name} is missing`,
    `Pass --${name} or set ${ENVIRONMENT_VARIABLES[name]}`,
  );
}
