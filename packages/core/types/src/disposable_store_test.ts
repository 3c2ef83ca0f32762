import test from "ava";
import { DisposableStore } from "./disposable_store.ts";

test("guards against resources that stay open when a disposer fails", async (t) => {
  const released: string[] = [];
  const store = new DisposableStore();
  store.add(() => {
    released.push("first");
  });
  store.add(() => Promise.reject(new Error("Cannot close")));
  store.add(() => {
    released.push("last");
  });

  await t.throwsAsync(() => store.dispose(), { instanceOf: AggregateError });
  t.deepEqual(released, ["last", "first"]);
});
