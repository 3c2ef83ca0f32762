/**
 * Checks values against zod schemas and converts zod's issues into findings.
 *
 * @module
 */
import type { z } from "zod";
import { describeValue, formatPath, getValueAt } from "./finding.ts";
import type { Finding, ValuePath } from "./finding.ts";

type Issue = z.core.$ZodIssue;
type IssueOf<Code extends Issue["code"]> = Extract<Issue, { code: Code }>;

/** Finds where a value does not match a schema. */
export function findShapeErrors(schema: z.ZodType, value: unknown): Finding[] {
  const result = schema.safeParse(value);
  if (result.success) return [];
  return result.error.issues.flatMap((issue) => describeIssue(issue, value));
}

function describeIssue(issue: Issue, root: unknown): Finding[] {
  const path = issue.path as ValuePath;
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => describeUnknownKey([...path, key]));
  }
  const value = getValueAt(root, path);
  const expected = describeExpected(issue);
  const key = formatPath(path);
  if (value === undefined && path.length > 0) {
    return [{
      code: "key-missing",
      path,
      found: "nothing",
      expected,
      hint: `Add ${key}`,
    }];
  }
  return [{
    code: "value-invalid",
    path,
    found: describeValue(value),
    expected,
    hint: key === "" ? "Write a map of top-level keys" : `Change ${key}`,
  }];
}

function describeUnknownKey(path: ValuePath): Finding {
  return {
    code: "key-unknown",
    path,
    found: `the unknown key ${String(path.at(-1))}`,
    expected: "only known keys",
    hint: `Remove ${formatPath(path)} or correct its spelling`,
    atKey: true,
  };
}

function describeExpected(issue: Issue): string {
  switch (issue.code) {
    case "invalid_type":
      return describeType(issue);
    case "too_small":
      return describeBound(issue, {
        bound: issue.minimum,
        relation: issue.inclusive === false ? "more than" : "at least",
      });
    case "too_big":
      return describeBound(issue, {
        bound: issue.maximum,
        relation: issue.inclusive === false ? "less than" : "at most",
      });
    case "invalid_value":
      return `one of ${issue.values.map(String).join(", ")}`;
    case "invalid_format":
      return issue.format === "cidrv4"
        ? "an IPv4 block such as 203.0.113.0/24"
        : issue.message;
    case "invalid_key":
      return issue.issues[0]?.message ?? issue.message;
    default:
      return issue.message;
  }
}

function describeType(issue: IssueOf<"invalid_type">): string {
  const names: Record<string, string> = {
    array: "a list",
    boolean: "true or false",
    int: "a whole number",
    number: "a number",
    object: "a map",
    record: "a map",
    string: "a string",
  };
  return names[issue.expected] ?? issue.expected;
}

function describeBound(
  issue: { readonly origin: string },
  bound: { readonly bound: number | bigint; readonly relation: string },
): string {
  const unit = issue.origin === "array" ? " entries" : "";
  return `${bound.relation} ${bound.bound}${unit}`;
}
