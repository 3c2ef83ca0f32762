/**
 * Parsed YAML text of a document, and the positions of findings in it.
 *
 * @module
 */
import {
  Document,
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
} from "yaml";
import type { Node } from "yaml";
import type { DocumentError } from "./document_error.ts";
import { describeValue, formatPath } from "./finding.ts";
import type { Finding, ValuePath } from "./finding.ts";

/** YAML text of a document; finds the positions of findings in the text. */
export class DocumentSource {
  readonly #file: string;
  readonly #document: Document;
  readonly #value: unknown;
  /** Hint for the error if reading the text threw. */
  readonly #readHint?: string;
  readonly #lines = new LineCounter();
  readonly #text: string;

  constructor(text: string, options: { readonly file: string }) {
    this.#file = options.file;
    this.#text = text;
    // The parser overflows the stack on deeply nested text. toJS throws on
    // aliases, which are disabled because they can expand to any size.
    try {
      this.#document = parseDocument(text, {
        lineCounter: this.#lines,
        prettyErrors: false,
        stringKeys: true,
      });
      if (this.#document.errors.length === 0) {
        this.#value = this.#document.toJS({ maxAliasCount: 0 });
      }
    } catch (error) {
      this.#document ??= new Document();
      this.#readHint = error instanceof RangeError
        ? "Nest values less deeply"
        : "Write values out instead of using aliases";
    }
  }

  /** Lists syntax errors; warnings of the YAML parser count as errors. */
  listSyntaxErrors(): DocumentError[] {
    const errors = [...this.#document.errors, ...this.#document.warnings];
    if (errors.length === 0 && this.#readHint !== undefined) {
      return [this.#makeError({
        code: "syntax",
        path: [],
        found: "content that cannot be parsed",
        expected: "plain YAML values",
        hint: this.#readHint,
      }, 0)];
    }
    return errors.map((error) => {
      const duplicate = error.code === "DUPLICATE_KEY";
      return this.#makeError({
        code: duplicate ? "key-duplicate" : "syntax",
        path: [],
        found: describeValue(this.#readLine(error.pos[0]).trim()),
        expected: duplicate ? "each key once" : "valid YAML",
        hint: error.message,
      }, error.pos[0]);
    });
  }

  /** Returns the plain value of the text; undefined if it cannot be parsed. */
  getValue(): unknown {
    return this.#value;
  }

  /** Makes an error from a finding, with its position in the text. */
  locateFinding(finding: Finding): DocumentError {
    return this.#makeError(finding, this.#findOffset(finding));
  }

  #findOffset(finding: Finding): number {
    if (finding.atKey) {
      const offset = this.#findKeyOffset(finding.path);
      if (offset !== undefined) return offset;
    }
    // For a missing value, use the position of its nearest existing ancestor.
    for (let length = finding.path.length; length > 0; length--) {
      const node = this.#document.getIn(finding.path.slice(0, length), true);
      if (isNode(node) && node.range) return node.range[0];
    }
    return this.#document.contents?.range?.[0] ?? 0;
  }

  #findKeyOffset(path: ValuePath): number | undefined {
    const parent = path.length === 1
      ? this.#document.contents
      : this.#document.getIn(path.slice(0, -1), true);
    if (!isMap(parent)) return undefined;
    const key = path.at(-1);
    const pair = parent.items.find((item) =>
      isScalar(item.key) && item.key.value === key
    );
    return (pair?.key as Node | undefined)?.range?.[0];
  }

  #makeError(finding: Finding, offset: number): DocumentError {
    const { line, col } = this.#lines.linePos(offset);
    return makeDocumentError(finding, {
      file: this.#file,
      line: Math.max(line, 1),
      column: Math.max(col, 1),
    });
  }

  #readLine(offset: number): string {
    const start = this.#text.lastIndexOf("\n", Math.max(offset - 1, 0)) + 1;
    const end = this.#text.indexOf("\n", offset);
    return this.#text.slice(start, end < 0 ? undefined : end);
  }
}

/** Makes an error from a finding and its position. */
export function makeDocumentError(
  finding: Finding,
  place: Pick<DocumentError, "file" | "line" | "column">,
): DocumentError {
  const { code, found, expected, hint } = finding;
  const key = formatPath(finding.path);
  const message = `${key === "" ? "The document" : key} has ${found}, ` +
    `expected ${expected}`;
  return { code, message, hint, ...place, key, found, expected };
}

/**
 * Makes errors from findings. Without the text of the document, the errors have
 * line and column 0.
 */
export function locateFindings(
  findings: readonly Finding[],
  options: { readonly file: string; readonly text?: string },
): DocumentError[] {
  const { file, text } = options;
  if (findings.length === 0) return [];
  if (text === undefined) {
    return findings.map((finding) =>
      makeDocumentError(finding, { file, line: 0, column: 0 })
    );
  }
  const source = new DocumentSource(text, { file });
  return findings.map((finding) => source.locateFinding(finding));
}
