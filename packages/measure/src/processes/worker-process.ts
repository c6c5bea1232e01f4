/**
 * Runs a fake worker in a process of its own; prints its address and runs until it is killed.
 */
import process from 'node:process';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';

const [slots = '64'] = process.argv.slice(2);
const worker = new WorkerServer({slots: Number(slots)});
await worker.start();
process.stdout.write(`${worker.address}\n`);
