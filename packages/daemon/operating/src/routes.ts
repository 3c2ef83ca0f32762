/**
 * Routes of the operators' interface.
 *
 * @module
 */
import { PLATFORM_TEAM } from "@dotterelmoor/config.changing";
import type { ChangeOrigin } from "@dotterelmoor/config.changing";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { checkRole, checkTeamRole, hasTeamAccess } from "./access.ts";
import type { AcceptedChange, OperatorRole } from "./operator_actions.ts";
import { makeNotFoundError, makeRequestError } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";
import {
  checkName,
  parseChangeFields,
  parseCount,
  parseText,
} from "./operator_request.ts";
import type { OperatorAnswer, OperatorRequest, Route } from "./routing.ts";

type Answer = Promise<Result<OperatorAnswer, OperatorError>>;

/** All routes of the operators' interface. */
export const ROUTES: readonly Route[] = [
  { method: "GET", path: "/v1/documents", answer: answerDocuments },
  { method: "GET", path: "/v1/documents/:team", answer: answerDocument },
  { method: "PUT", path: "/v1/documents/:team", answer: submitDocument },
  { method: "POST", path: "/v1/documents/:team/check", answer: checkDocument },
  { method: "GET", path: "/v1/history", answer: answerHistory },
  { method: "GET", path: "/v1/status", answer: answerStatus },
  { method: "GET", path: "/v1/drains", answer: answerDrains },
  { method: "GET", path: "/v1/drains/:instance", answer: answerDrain },
  { method: "PUT", path: "/v1/drains/:instance", answer: submitDrain },
  { method: "DELETE", path: "/v1/drains/:instance", answer: submitDrain },
  { method: "GET", path: "/v1/quarantine", answer: answerQuarantine },
  {
    method: "DELETE",
    path: "/v1/quarantine/:fingerprint",
    answer: submitQuarantineLift,
  },
  { method: "GET", path: "/v1/leases", answer: answerLeases },
  {
    method: "DELETE",
    path: "/v1/leases/:service/:region",
    answer: submitLeaseRelease,
  },
];

async function answerDocuments({ actions, token }: OperatorRequest): Answer {
  return (await actions.listDocuments()).map((documents) => ({
    body: {
      documents: documents.filter(({ team }) => canReadTeam(token, team)),
    },
  }));
}

/** All teams may read the platform's document, because they need its names and
 * limits. */
function canReadTeam(token: OperatorRequest["token"], team: string): boolean {
  return team === PLATFORM_TEAM || hasTeamAccess(token, team);
}

async function answerDocument(request: OperatorRequest): Answer {
  const { actions, token } = request;
  const team = checkName(request.params.team!, "name");
  if (team.isErr()) return team;
  if (!canReadTeam(token, team.value)) {
    return checkTeamRole(token, { team: team.value, role: "viewer" })
      .map(() => ({ body: null }));
  }
  return (await actions.getDocument(team.value)).map((document) => ({
    body: document,
    text: document.text,
  }));
}

async function checkDocument(request: OperatorRequest): Answer {
  const { actions, fields } = request;
  const team = checkName(request.params.team!, "name").andThen((name) =>
    checkTeamRole(request.token, { team: name, role: "viewer" }).map(() => name)
  );
  const text = team.andThen(() => parseText(fields, "text"));
  if (team.isErr()) return team;
  if (text.isErr()) return text;
  return (await actions.checkDocument(team.value, text.value))
    .map((body) => ({ body }));
}

async function submitDocument(request: OperatorRequest): Answer {
  const { actions, fields } = request;
  const team = checkName(request.params.team!, "name");
  if (team.isErr()) return team;
  const origin = authorizeChange(request, {
    team: team.value,
    role: "operator",
  });
  const text = parseText(fields, "text");
  const editedFrom = parseCount(fields, "editedFrom");
  if (origin.isErr()) return origin;
  if (text.isErr()) return text;
  if (editedFrom.isErr()) return editedFrom;
  return makeChangeAnswer(
    await actions.submitDocument({
      ...origin.value,
      team: team.value,
      text: text.value,
      editedFrom: editedFrom.value,
    }),
  );
}

async function answerHistory(request: OperatorRequest): Answer {
  const { actions, token, query, maxHistory } = request;
  const team = query.get("team");
  const limit = Number(query.get("limit") ?? Math.min(20, maxHistory));
  if (!Number.isInteger(limit) || limit < 1 || limit > maxHistory) {
    return Err(makeRequestError(
      `Parameter limit is not between 1 and ${maxHistory}`,
      "Send a limit in this range",
    ));
  }
  if (team !== null) {
    const right = checkTeamRole(token, { team, role: "viewer" });
    if (right.isErr()) return right;
  }
  return (await actions.listHistory({
    limit,
    isWanted: (change) =>
      hasTeamAccess(token, change.team) &&
      (team === null || change.team === team),
  })).map((body) => ({ body }));
}

async function answerStatus({ actions }: OperatorRequest): Answer {
  return Ok({ body: await actions.reportStatus() });
}

async function answerDrains({ actions, token }: OperatorRequest): Answer {
  return (await actions.listDrains()).map((drains) => ({
    body: {
      drains: drains.filter(({ instance }) =>
        hasTeamAccess(token, findInstanceTeam(actions, instance))
      ),
    },
  }));
}

async function answerDrain(request: OperatorRequest): Answer {
  const { actions, token } = request;
  const instance = checkName(request.params.instance!, "instance");
  if (instance.isErr()) return instance;
  const team = findInstanceTeam(actions, instance.value);
  const right = checkTeamRole(token, { team, role: "viewer" });
  if (right.isErr()) return right;
  return (await actions.listDrains()).andThen((drains) => {
    const drain = drains.find((row) => row.instance === instance.value);
    return drain === undefined
      ? Err(makeNotFoundError(`drain of instance ${instance.value}`))
      : Ok({ body: drain });
  });
}

async function submitDrain(request: OperatorRequest): Answer {
  const { actions } = request;
  const instance = checkName(request.params.instance!, "instance");
  if (instance.isErr()) return instance;
  const team = findInstanceTeam(actions, instance.value);
  const origin = authorizeChange(request, { team, role: "operator" });
  if (origin.isErr()) return origin;
  return makeChangeAnswer(
    request.method === "PUT"
      ? await actions.setDrain(instance.value, origin.value)
      : await actions.removeDrain(instance.value, origin.value),
  );
}

async function answerQuarantine({ actions, token }: OperatorRequest): Answer {
  const entries = await actions.reportQuarantine();
  const quarantine = entries.filter(({ service }) =>
    hasTeamAccess(token, findServiceTeam(actions, service))
  );
  return Ok({ body: { quarantine } });
}

async function submitQuarantineLift(request: OperatorRequest): Answer {
  const { actions, token, fields, whenMs } = request;
  const name = checkName(request.params.fingerprint!, "fingerprint");
  if (name.isErr()) return name;
  const change = checkRole(token, "operator")
    .andThen(() => parseChangeFields(fields));
  if (change.isErr()) return change;
  const result = await actions.removeQuarantine(name.value, {
    ...change.value,
    who: token.name,
    whenMs,
    checkService: (service) => {
      const team = service === undefined
        ? undefined
        : findServiceTeam(actions, service);
      return checkTeamRole(token, { team, role: "operator" }).map(() => team);
    },
  });
  if (result.isOk()) actions.notifyLift?.(name.value);
  return makeChangeAnswer(result);
}

async function answerLeases({ actions, token }: OperatorRequest): Answer {
  const leases = (await actions.reportLeases()).filter(({ service }) =>
    hasTeamAccess(token, findServiceTeam(actions, service))
  );
  return Ok({ body: { leases } });
}

async function submitLeaseRelease(request: OperatorRequest): Answer {
  const { actions, params } = request;
  const service = checkName(params.service!, "name");
  const region = checkName(params.region!, "name");
  if (service.isErr()) return service;
  if (region.isErr()) return region;
  const team = findServiceTeam(actions, service.value);
  const origin = authorizeChange(request, { team, role: "admin" });
  if (origin.isErr()) return origin;
  return makeChangeAnswer(
    await actions.releaseLease(
      { service: service.value, region: region.value },
      origin.value,
    ),
  );
}

function authorizeChange(
  request: OperatorRequest,
  needed: { readonly team: string | undefined; readonly role: OperatorRole },
): Result<ChangeOrigin, OperatorError> {
  const { token, fields, whenMs } = request;
  const { team } = needed;
  return checkTeamRole(token, needed)
    .andThen(() => parseChangeFields(fields))
    .map((change) => ({
      ...change,
      who: token.name,
      whenMs,
      ...(team === undefined ? {} : { team }),
    }));
}

function makeChangeAnswer(
  result: Result<AcceptedChange, OperatorError>,
): Result<OperatorAnswer, OperatorError> {
  return result.map((body) => ({ body, sequence: body.sequence }));
}

function findInstanceTeam(
  actions: OperatorRequest["actions"],
  instance: string,
): string | undefined {
  const service = actions.findInstanceService(instance);
  return service === undefined ? undefined : findServiceTeam(actions, service);
}

function findServiceTeam(
  actions: OperatorRequest["actions"],
  service: string,
): string | undefined {
  return Object.values(actions.getSnapshot().teams).find((document) =>
    document.services.some(({ name }) => name === service)
  )?.team;
}
