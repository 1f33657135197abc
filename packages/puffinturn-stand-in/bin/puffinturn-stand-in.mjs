#!/usr/bin/env node
// npm links this file before `npm run build` creates the bundle.
import '../dist/main.js';
