import { defineTraceTests } from "./support/play-traces.js";

defineTraceTests("plain", "second");
