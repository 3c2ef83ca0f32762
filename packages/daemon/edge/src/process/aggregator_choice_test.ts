import test from "ava";
import { sortEntries } from "./entry_order.ts";
import { createAggregatorChoice } from "./aggregator_choice.ts";

function makeEntry(processId: string) {
  return {
    instance: processId,
    processId,
    incarnation: 1,
    peerAddress: "",
    callerAddress: "",
    region: "a",
    zone: "a-1",
    capacity: 378,
  };
}

test("guards against entries of a region that choose different aggregators", (t) => {
  const choices = [createAggregatorChoice(), createAggregatorChoice()];
  const processIds = [["p2", "p1", "p3"], ["p3", "p2", "p1"]];
  const chosen = choices.map((choice, index) => {
    const entries = sortEntries(processIds[index]!.map((id) => makeEntry(id)));
    return choice.choose(entries.map(({ processId }) => processId), 0);
  });
  t.deepEqual(chosen, ["p1", "p1"]);
});

test("guards against a failed aggregator that is asked again at once", (t) => {
  const choice = createAggregatorChoice();
  choice.markFailed("p1", 0);
  t.is(choice.choose(["p1", "p2"], 1_999), "p2");
  t.is(choice.choose(["p1", "p2"], 2_000), "p1");
});

test("guards against a failed entry that is chosen for lack of others", (t) => {
  const choice = createAggregatorChoice();
  choice.markFailed("p1", 0);
  t.is(choice.choose(["p1"], 1), undefined);
});
