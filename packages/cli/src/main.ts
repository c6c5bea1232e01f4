#!/usr/bin/env node
/**
 * Binary `rosemaryquay`.
 */
import process from 'node:process';
import {createCli} from './create-cli.js';

await createCli().runExit(process.argv.slice(2));
