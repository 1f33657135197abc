#!/usr/bin/env node
// Built by `npm run build`; this file is here so that npm can link it.
import '../dist/main.js';
