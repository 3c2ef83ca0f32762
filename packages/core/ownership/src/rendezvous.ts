/**
 * Rendezvous hashing, which gives each resource its own order of instances.
 *
 * @module
 */

/** Sorts the instances by preference for owning a resource. */
export function spreadInstances(
  resource: string,
  instances: readonly string[],
): string[] {
  const scored = instances.map((instance) => ({
    instance,
    score: computeScore(`${resource}|${instance}`),
  }));
  scored.sort((a, b) =>
    b.score - a.score || (a.instance < b.instance ? -1 : 1)
  );
  return scored.map(({ instance }) => instance);
}

/** FNV-1a with a final mix, as FNV alone barely spreads the last characters. */
function computeScore(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
