import { defineTraceTests } from "./support/play-traces.js";

defineTraceTests("forwarded heartbeats", "first");
