import { defineTraceTests } from "./support/play-traces.js";

defineTraceTests("team quota", "first");
