#!/usr/bin/env node
import { runDaemon } from '../dist/src/daemon.js'

await runDaemon(process.argv.slice(2))
