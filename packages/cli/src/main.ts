#!/usr/bin/env node
/**
 * Entry point of `rosemaryquay`, the command line for operators.
 */
import process from 'node:process';
import {createCli} from './create-cli.js';

await createCli().runExit(process.argv.slice(2));
