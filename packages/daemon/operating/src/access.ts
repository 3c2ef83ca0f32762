/**
 * Authenticates and authorizes operators by their tokens.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { PLATFORM_TEAM } from "@dotterelmoor/config.changing";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { OperatorRole, OperatorToken } from "./operator_actions.ts";
import { makeForbiddenError } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";

const ROLE_RANKS: Record<OperatorRole, number> = {
  viewer: 1,
  operator: 2,
  admin: 3,
};

/** Wildcard for all teams in a token. */
const ALL_TEAMS = "*";

/** Finds the configured token that an `Authorization` header contains. */
export function findToken(
  header: string | undefined,
  tokens: readonly OperatorToken[],
): Result<OperatorToken, OperatorError> {
  const given = /^Bearer ([\x21-\x7e]+)$/i.exec(header ?? "")?.[1] ?? "";
  const digest = computeDigest(given);
  // Digests have equal lengths and every token is compared, so that the time
  // taken reveals nothing about a token.
  const [found] = tokens.filter((candidate) =>
    timingSafeEqual(computeDigest(candidate.token), digest)
  );
  if (found !== undefined && given !== "") return Ok(found);
  return Err({
    code: "token-invalid",
    message: "The request carries no valid token",
    hint: "Send the header Authorization: Bearer <token>",
  });
}

function computeDigest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** Returns whether a token covers a team; undefined stands for an unknown team,
 * which only `*` covers. */
export function hasTeamAccess(
  token: OperatorToken,
  team: string | undefined,
): boolean {
  return token.teams.includes(ALL_TEAMS) ||
    (team !== undefined && token.teams.includes(team));
}

/** Checks that a token has a role, regardless of its teams. */
export function checkRole(
  token: OperatorToken,
  role: OperatorRole,
): Result<void, OperatorError> {
  return ROLE_RANKS[token.role] >= ROLE_RANKS[role]
    ? Ok(undefined)
    : Err(makeForbiddenError(`role ${role}`));
}

/** Checks that a token has a role for a team; changes of the platform's document
 * require an admin. */
export function checkTeamRole(
  token: OperatorToken,
  needed: { readonly team: string | undefined; readonly role: OperatorRole },
): Result<void, OperatorError> {
  const { team } = needed;
  const role = team === PLATFORM_TEAM && needed.role === "operator"
    ? "admin"
    : needed.role;
  if (
    ROLE_RANKS[token.role] >= ROLE_RANKS[role] && hasTeamAccess(token, team)
  ) {
    return Ok(undefined);
  }
  const scope = team === undefined ? "all teams" : `team ${team}`;
  return Err(makeForbiddenError(`role ${role} for ${scope}`));
}
